// Command measure prints what the system costs, one JSON object a line, each with its baseline beside it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run the measurements on loopback sockets and print one JSON object a line",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Usage: "fleet `SIZES`", Value: []int{10, 50, 100, 300}},
			&cli.StringFlag{Name: "out", Usage: "also write the lines to `FILE`"},
			&cli.StringFlag{Name: "commit", Usage: "`ID` of the commit that is measured"},
		},
		Commands: []*cli.Command{capacityCommand(), plotCommand()},
		Action:   run,
	}
}

// line is one measured figure.
type line struct {
	Name     string  `json:"name"`
	Nodes    int     `json:"nodes"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Variant  string  `json:"variant"`
	At       float64 `json:"at,omitempty"`
	Commit   string  `json:"commit"`
	Cores    int     `json:"cores"`
	MemoryGB int     `json:"memory_gb"`
}

// reporter writes lines.
type reporter struct {
	out    io.Writer
	commit string
	failed error
}

// Variants of a figure.
const (
	ours     = "sycamoretiller"
	baseline = "baseline"
)

const significant = 1000

func (r *reporter) report(l line) {
	l.Commit = r.commit
	l.Cores = runtime.NumCPU()
	l.MemoryGB = machineMemoryGB()
	l.Value = math.Round(l.Value*significant) / significant

	if err := json.NewEncoder(r.out).Encode(l); err != nil && r.failed == nil {
		r.failed = eris.Wrap(err, "write figure")
	}
}

func machineMemoryGB() int {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}

	return int(info.Totalram >> 30)
}

func run(ctx context.Context, c *cli.Command) error {
	r := &reporter{out: c.Root().Writer, commit: c.String("commit")}

	if path := c.String("out"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return launcher.Exit(launcher.ExitBadInput, err)
		}

		defer func() { _ = f.Close() }()

		r.out = io.MultiWriter(r.out, f)
	}

	steps := []func(context.Context, *reporter) error{measureCatchUp, measureLatency, measureGoodput, measureFailover}
	for _, n := range c.IntSlice("nodes") {
		steps = append(steps, func(ctx context.Context, r *reporter) error { return measureScale(ctx, r, n) })
	}

	for _, step := range steps {
		if err := step(ctx, r); err != nil {
			return err
		}
	}

	return r.failed
}

// processorSeconds returns the processor time that this process has used.
func processorSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// residentMB returns the memory that the process occupies after a collection.
func residentMB() float64 {
	runtime.GC()

	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}

	var total, resident int
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0
	}

	return float64(resident*os.Getpagesize()) / (1 << 20)
}
