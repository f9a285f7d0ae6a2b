// Package tracer finds the log lines about one request in the logs of several processes and orders them by time.
package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// maxLineBytes bounds a line of a log; the longest lines that a process writes contain an error text.
	maxLineBytes = 1 << 20
	// workerEventsBefore and workerEventsAfter bound how long before and after a request an event about one of its workers is included; a VM
	// is declared dead within a few seconds.
	workerEventsBefore = 10 * time.Second
	workerEventsAfter  = 5 * time.Second
)

// Line is one line of a process's log.
type Line struct {
	at      time.Time
	process string
	message string
	fields  map[string]any
}

// At returns when the line was written, by the wall clock of its VM.
func (l Line) At() time.Time { return l.at }

// Process returns the name of the process that wrote the line.
func (l Line) Process() string { return l.process }

// Message returns the log message.
func (l Line) Message() string { return l.message }

// Field returns the value of a field as text, or an empty string if the line has no such field.
func (l Line) Field(name string) string {
	v, ok := l.fields[name]
	if !ok {
		return ""
	}

	return fmt.Sprint(v)
}

// Read returns the lines of a process's log in their order. Lines that are not log lines in JSON are skipped and counted; text before the JSON
// object, such as a log collector's prefix, is ignored.
func Read(process string, r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)

	for scanner.Scan() {
		line, ok := parse(process, scanner.Bytes())
		if !ok {
			skipped++

			continue
		}

		lines = append(lines, line)
	}

	return lines, skipped, eris.Wrapf(scanner.Err(), "log of %s", process)
}

func parse(process string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}

	l := Line{process: process, fields: map[string]any{}}

	d := json.NewDecoder(bytes.NewReader(text[start:]))
	d.UseNumber()

	if d.Decode(&l.fields) != nil {
		return Line{}, false
	}

	at, err := time.Parse(time.RFC3339Nano, l.Field("ts"))
	if err != nil || l.Field("msg") == "" {
		return Line{}, false
	}

	l.at, l.message = at, l.Field("msg")
	for _, name := range []string{"ts", "msg", "level"} {
		delete(l.fields, name)
	}

	return l, true
}

// RequestLines returns the lines about a request, about the calls made while it ran, and about the workers involved, ordered by time. It returns
// nil if no line mentions the request.
func RequestLines(id string, lines []Line) []Line {
	var out []Line

	workers := tiller.NewSet[string]()

	for _, l := range lines {
		if l.Field("id") != id && l.Field("cause") != id {
			continue
		}

		out = append(out, l)
		workers.Add(l.process)

		if w := l.Field("worker"); w != "" {
			workers.Add(w)
		}
	}

	if len(out) == 0 {
		return nil
	}

	sortByTime(out)

	first, last := out[0].at.Add(-workerEventsBefore), out[len(out)-1].at.Add(workerEventsAfter)
	for _, l := range lines {
		if l.Field("id") == "" && !l.at.Before(first) && !l.at.After(last) && concerns(l, workers) {
			out = append(out, l)
		}
	}

	sortByTime(out)

	return out
}

// workerEvents are the log messages about a worker or its VM that help to explain the outcome of a request.
var workerEvents = tiller.NewSet(
	tiller.EventSuspected.String(), tiller.EventDied.String(), tiller.EventDrained.String(), tiller.EventEjected.String(),
	tiller.EventGone.String(), tiller.EventStarted.String(), tiller.EventStopped.String(), tiller.EventCrashed.String(),
	"node starts", "node stopped", "worker ejected",
)

// concerns reports whether a line is an event about one of the workers.
func concerns(l Line, workers tiller.Set[string]) bool {
	if !workerEvents.Has(l.message) {
		return false
	}

	for _, name := range []string{"cause", "worker", "name"} {
		if workers.Has(l.Field(name)) {
			return true
		}
	}

	return l.message == tiller.EventStarted.String() && workers.Has(l.process)
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process, b.process))
	})
}

// Text writes one line per log line, with the milliseconds since the first one.
func Text(w io.Writer, lines []Line) error {
	for _, l := range lines {
		offset := float64(l.at.Sub(lines[0].at).Microseconds()) / 1000

		if _, err := fmt.Fprintf(w, "%+10.1f ms  %-24s %-20s %s\n", offset, l.process, l.message, l.describe()); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}

	return nil
}

// describe formats the fields, ordered by name.
func (l Line) describe() string {
	var out []string

	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if v := l.Field(name); v != "" {
			out = append(out, name+"="+quoted(v))
		}
	}

	return strings.Join(out, " ")
}

func quoted(v string) string {
	if strings.ContainsAny(v, " \t\"") {
		return fmt.Sprintf("%q", v)
	}

	return v
}
