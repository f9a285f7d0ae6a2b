package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/renderer"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge the events of all processes into one order", Action: timeline,
		Flags: []cli.Flag{
			nodeFlag(),
			&cli.StringFlag{Name: "process", Usage: "only events of this process"},
			&cli.StringFlag{Name: "data-centre", Usage: "only events of this data centre"},
			&cli.StringFlag{Name: "for-version", Usage: "only events about versions that start like this"},
			&cli.StringFlag{Name: "key", Usage: "only events with this key, edit id or cause"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind", Validator: oneOf(append(tiller.EventKindStrings(), "")...)},
			&cli.StringFlag{Name: "format", Usage: "text, jsonl or html", Value: "text", Validator: oneOf("text", "jsonl", "html")},
			&cli.StringFlag{Name: "out", Usage: "write to `FILE`"},
		},
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	e, err := clientForNodes(c)
	if err != nil {
		return err
	}

	nodes, err := allNodes(ctx, c, e)
	if err != nil {
		return err
	}

	lines, dropped := e.Timelines(ctx, nodes)
	if len(lines) == 0 {
		return launcher.Exitf(launcher.ExitUnreachable, "no process answered")
	}

	filter := renderer.Filter{
		Process: c.String("process"), DataCentre: c.String("data-centre"), Version: c.String("for-version"), Key: c.String("key"), Kind: c.String("kind"),
	}
	events := renderer.Merge(filter, lines...)

	path := c.String("out")
	if path == "" {
		return writeTimeline(writer(c), c.String("format"), events, dropped)
	}

	f, err := os.Create(path)
	if err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	return errors.Join(writeTimeline(f, c.String("format"), events, dropped), f.Close())
}

// allNodes returns the nodes given on the command line or, without any, every node that the fleet's membership lists as alive.
func allNodes(ctx context.Context, c *cli.Command, e *editor.Client) ([]tiller.Address, error) {
	nodes, err := nodeAddresses(ctx, c, e)
	if err != nil || len(c.StringSlice("node")) > 0 {
		return nodes, err
	}

	r, err := e.Inspect(ctx, nodes)
	if err != nil {
		return nodes, nil //nolint:nilerr // without any node, the controllers' events are still shown
	}

	var out []tiller.Address

	for _, entry := range r.GetEntries() {
		if entry.GetLiveness() == wire.Liveness_LIVENESS_ALIVE {
			out = append(out, tiller.Address(entry.GetAddress()))
		}
	}

	return out, nil
}

func writeTimeline(w io.Writer, format string, events []*wire.Event, dropped uint64) error {
	switch format {
	case "jsonl":
		return renderer.JSONLines(w, events)
	case "html":
		return renderer.HTML(w, events, dropped)
	default:
		if err := renderer.Text(w, events); err != nil || dropped == 0 {
			return err
		}

		_, err := fmt.Fprintf(w, "%d older events were dropped\n", dropped)

		return err
	}
}
