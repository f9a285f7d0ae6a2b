// Package renderer merges the timelines of several processes and writes them as text, JSON lines or an HTML page.
package renderer

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Filter selects events; an empty field matches every event.
type Filter struct {
	Process    string
	DataCentre string
	// Version is a prefix of the version.
	Version string
	// Key matches the key or the cause of an event.
	Key  string
	Kind string
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(e *wire.Event) bool {
	return (f.Process == "" || e.GetProcess() == f.Process) &&
		(f.DataCentre == "" || e.GetDataCentre() == f.DataCentre) &&
		(f.Version == "" || strings.HasPrefix(e.GetVersion(), f.Version)) &&
		(f.Key == "" || e.GetKey() == f.Key || e.GetCause() == f.Key) &&
		(f.Kind == "" || e.GetKind() == f.Kind)
}

// Merge returns the selected events of several timelines, ordered by stamp, which is a causal order.
func Merge(filter Filter, timelines ...[]*wire.Event) []*wire.Event {
	var out []*wire.Event

	for _, timeline := range timelines {
		for _, e := range timeline {
			if filter.Matches(e) {
				out = append(out, e)
			}
		}
	}

	slices.SortStableFunc(out, func(a, b *wire.Event) int {
		return cmp.Or(cmp.Compare(a.GetStamp(), b.GetStamp()), cmp.Compare(a.GetProcess(), b.GetProcess()))
	})

	return out
}

const timeFormat = "15:04:05.000"

func wallTime(e *wire.Event) string {
	return time.UnixMilli(int64(recorder.Stamp(e.GetStamp()).Wall())).UTC().Format(timeFormat)
}

// Text writes one line per event.
func Text(w io.Writer, events []*wire.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintf(w, "%s  %-14s %-16s %-14s %s\n", wallTime(e), e.GetDataCentre(), e.GetProcess(), e.GetKind(), describe(e)); err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}

	return nil
}

func describe(e *wire.Event) string {
	var parts []string

	for _, p := range []struct{ name, value string }{{"version", e.GetVersion()}, {"key", e.GetKey()}, {"cause", e.GetCause()}} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}

	return strings.Join(append(parts, e.GetDetail()), " ")
}

// jsonEvent is the JSON form of an event.
type jsonEvent struct {
	Stamp      uint64        `json:"stamp"`
	TimeMs     tiller.Millis `json:"time_ms"`
	Process    string        `json:"process"`
	DataCentre string        `json:"data_centre"`
	Kind       string        `json:"kind"`
	Version    string        `json:"version,omitempty"`
	Key        string        `json:"key,omitempty"`
	Cause      string        `json:"cause,omitempty"`
	Detail     string        `json:"detail,omitempty"`
}

// JSONLines writes one JSON object per event.
func JSONLines(w io.Writer, events []*wire.Event) error {
	encoder := json.NewEncoder(w)

	for _, e := range events {
		l := jsonEvent{
			Stamp: e.GetStamp(), TimeMs: recorder.Stamp(e.GetStamp()).Wall(), Process: e.GetProcess(), DataCentre: e.GetDataCentre(),
			Kind: e.GetKind(), Version: e.GetVersion(), Key: e.GetKey(), Cause: e.GetCause(), Detail: e.GetDetail(),
		}
		if err := encoder.Encode(l); err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}

	return nil
}

//go:embed page.gohtml
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// Sizes of the page in pixels.
const (
	laneHeight  = 22
	labelWidth  = 230
	chartWidth  = 1100
	axisHeight  = 34
	dotRadius   = 5
	axisSteps   = 6
	textBase    = 15
	rightMargin = 60
)

type dot struct {
	X, Y  float64
	R     int
	Class string
	Title string
}

type lane struct {
	Y, TextY   int
	Name       string
	DataCentre string
	Shaded     bool
}

type tick struct {
	X     float64
	Label string
}

type row struct {
	Time, DataCentre, Process, Kind, Detail string
}

type pageData struct {
	Width, Height, Label, Lane, Axis int
	Lanes                            []lane
	Dots                             []dot
	Ticks                            []tick
	Kinds                            []string
	Rows                             []row
	Dropped                          uint64
}

// HTML writes a self-contained page with a lane per process; dropped is the number of older events that are missing.
func HTML(w io.Writer, events []*wire.Event, dropped uint64) error {
	return eris.Wrap(page.Execute(w, layout(events, dropped)), "write page")
}

func layout(events []*wire.Event, dropped uint64) pageData {
	lanes, rows := lanesOf(events)
	d := pageData{
		Width: labelWidth + chartWidth + rightMargin, Height: axisHeight + laneHeight*len(lanes) + axisHeight,
		Label: labelWidth, Lane: laneHeight, Axis: axisHeight, Lanes: lanes, Dropped: dropped,
	}

	if len(events) == 0 {
		return d
	}

	kinds := tiller.NewSet[string]()
	first, span := extent(events)

	for _, e := range events {
		kinds.Add(e.GetKind())
		d.Dots = append(d.Dots, dot{
			X: position(e, first, span), Y: float64(rows[e.GetProcess()]) + laneHeight/2, R: dotRadius, Class: e.GetKind(),
			Title: wallTime(e) + " " + e.GetProcess() + " " + e.GetKind() + " " + describe(e),
		})
		d.Rows = append(d.Rows, row{
			Time: wallTime(e), DataCentre: e.GetDataCentre(), Process: e.GetProcess(), Kind: e.GetKind(), Detail: describe(e),
		})
	}

	d.Kinds = kinds.Sorted()

	for i := range axisSteps + 1 {
		at := first + span*tiller.Millis(i)/axisSteps
		d.Ticks = append(d.Ticks, tick{
			X: labelWidth + float64(chartWidth*i)/axisSteps, Label: time.UnixMilli(int64(at)).UTC().Format(timeFormat),
		})
	}

	return d
}

func extent(events []*wire.Event) (first, span tiller.Millis) {
	first = recorder.Stamp(events[0].GetStamp()).Wall()
	last := recorder.Stamp(events[len(events)-1].GetStamp()).Wall()

	return first, max(last-first, 1)
}

func position(e *wire.Event, first, span tiller.Millis) float64 {
	at := recorder.Stamp(e.GetStamp()).Wall() - first

	return labelWidth + float64(chartWidth)*float64(at)/float64(span)
}

// lanesOf returns a lane per process, ordered by data centre and name, and the vertical position of each lane in pixels.
func lanesOf(events []*wire.Event) ([]lane, map[string]int) {
	centres := map[string]string{}
	for _, e := range events {
		centres[e.GetProcess()] = e.GetDataCentre()
	}

	names := tiller.NewSet[string]()
	for name := range centres {
		names.Add(name)
	}

	order := names.Sorted()
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(centres[a], centres[b]) })

	rows := map[string]int{}
	lanes := make([]lane, 0, len(order))

	for i, name := range order {
		y := axisHeight + i*laneHeight
		rows[name] = y
		lanes = append(lanes, lane{Y: y, TextY: y + textBase, Name: name, DataCentre: centres[name], Shaded: i%2 == 0})
	}

	return lanes, rows
}
