package main

import (
	"context"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// chart plots one measurement for this system and the baseline.
type chart struct {
	file, title, xLabel, yLabel, name string
	// byLoad puts the offered load on the horizontal axis instead of the number of nodes.
	byLoad bool
	// logScale makes the vertical axis logarithmic.
	logScale bool
}

func charts() []chart {
	return []chart{
		{
			file: "convergence.svg", title: "Convergence against nodes",
			xLabel: "nodes", yLabel: "worst of 20, in ms", name: "convergence_ms_max",
		},
		{
			file: "source_bytes.svg", title: "Bytes of the source at rest against nodes",
			xLabel: "nodes", yLabel: "bytes a second (log)", name: "rest_source_bytes_per_second", logScale: true,
		},
		{
			file: "goodput.svg", title: "Goodput against offered load",
			xLabel: "load as a multiple of the capacity", yLabel: "answers a second in time", name: "goodput_per_second", byLoad: true,
		},
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:  "plot",
		Usage: "draw measurements as SVG charts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Usage: "JSON lines `FILE`", Required: true},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for the charts", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			m, err := readMeasurements(c.String("from"))
			if err != nil {
				return launcher.Exit(launcher.ExitBadInput, err)
			}

			for _, x := range charts() {
				if err := x.draw(m, filepath.Join(c.String("folder"), x.file)); err != nil {
					return err
				}
			}

			return nil
		},
	}
}

func (x chart) points(m measurements, variant string) plotter.XYs {
	var out plotter.XYs

	for _, l := range m.all {
		if l.Name != x.name || l.Variant != variant {
			continue
		}

		at := float64(l.Nodes)
		if x.byLoad {
			at = l.At
		}

		out = append(out, plotter.XY{X: at, Y: l.Value})
	}

	slices.SortFunc(out, func(a, b plotter.XY) int { return int(a.X*roundingFactor) - int(b.X*roundingFactor) })

	return out
}

// headroom returns the top of the vertical axis, which leaves space for the legend above the highest point.
func (x chart) headroom(m measurements, variant string) float64 {
	const (
		linear      = 1.3
		logarithmic = 100
	)

	highest := 0.0
	for _, p := range x.points(m, variant) {
		highest = max(highest, p.Y)
	}

	if x.logScale {
		return highest * logarithmic
	}

	return highest * linear
}

func (x chart) draw(m measurements, path string) error {
	p := plot.New()
	p.Title.Text = x.title
	p.X.Label.Text = x.xLabel
	p.Y.Label.Text = x.yLabel
	p.Y.Min = 0
	p.X.Min = 0

	if x.logScale {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
		p.Y.Min = 1
	}

	p.Add(plotter.NewGrid())

	colors := map[string]color.Color{ours: color.RGBA{R: 0x2f, G: 0x6f, B: 0x9f, A: 0xff}, baseline: color.RGBA{R: 0xd9, G: 0x8a, B: 0x1f, A: 0xff}}

	for _, variant := range []string{ours, baseline} {
		drawn, dots, err := plotter.NewLinePoints(x.points(m, variant))
		if err != nil {
			return eris.Wrapf(err, "plot %s", x.name)
		}

		drawn.Color = colors[variant]
		dots.Color = colors[variant]
		p.Add(drawn, dots)
		p.Y.Max = max(p.Y.Max, x.headroom(m, variant))
		p.Legend.Add(variant, drawn, dots)
	}

	p.Legend.Top = true
	p.Legend.Left = true

	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return eris.Wrap(err, "create folder")
	}

	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
