package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/tracer"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "show the way of one request through the logs of several processes", Action: trace, ArgsUsage: "ID LOG...",
		Description: "Each log file is named for its process, such as casting-board-1.log. The id is that of a request, or the cause that all " +
			"requests of a chain carry.",
	}
}

func trace(_ context.Context, c *cli.Command) error {
	id, paths := c.Args().First(), c.Args().Tail()
	if id == "" || len(paths) == 0 {
		return launcher.Exitf(launcher.ExitBadInput, "name a request's id and at least one log file")
	}

	var lines []tracer.Line

	for _, path := range paths {
		more, err := readLog(c, path)
		if err != nil {
			return launcher.Exit(launcher.ExitBadInput, err)
		}

		lines = append(lines, more...)
	}

	found := tracer.RequestLines(id, lines)
	if len(found) == 0 {
		return launcher.Exitf(launcher.ExitFailed, "none of %d lines mentions %s; lines above the rate limit are not logged (see "+
			"\"log lines dropped\"), and served calls are logged only with verbose", len(lines), id)
	}

	return tracer.Text(writer(c), found)
}

func readLog(c *cli.Command, path string) ([]tracer.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}

	lines, skipped, err := tracer.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
	if skipped > 0 {
		// The trace is printed even if this warning cannot be.
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "%s: skipped %d lines that are not in this project's log format\n", path, skipped)
	}

	return lines, errors.Join(err, f.Close())
}
