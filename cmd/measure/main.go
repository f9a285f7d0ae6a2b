// Command measure measures the system's latency, throughput and resource use, and prints one JSON object per line for each result. Most
// results come with that of a simple baseline for comparison.
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

// measurement is one result.
type measurement struct {
	Name    string  `json:"name"`
	Nodes   int     `json:"nodes"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Variant string  `json:"variant"`
	// At is the load, call rate or number of missed versions that the value was measured at, zero if that does not apply.
	At       float64 `json:"at,omitempty"`
	Commit   string  `json:"commit"`
	Cores    int     `json:"cores"`
	MemoryGB int     `json:"memory_gb"`
}

// reporter writes measurements as JSON lines. Failed holds the first write error.
type reporter struct {
	out    io.Writer
	commit string
	failed error
}

// Variants that are measured: this system and a simple baseline.
const (
	ours     = "sycamoretiller"
	baseline = "baseline"
)

// roundingFactor rounds to three decimal places.
const roundingFactor = 1000

func (r *reporter) report(m measurement) {
	m.Commit = r.commit
	m.Cores = runtime.NumCPU()
	m.MemoryGB = machineMemoryGB()
	m.Value = math.Round(m.Value*roundingFactor) / roundingFactor

	if err := json.NewEncoder(r.out).Encode(m); err != nil && r.failed == nil {
		r.failed = eris.Wrap(err, "write measurement")
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

// cpuSeconds returns the CPU time that this process has used, zero if unknown.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// residentMB returns the resident memory of this process after a garbage collection, in MiB, zero if unknown.
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
