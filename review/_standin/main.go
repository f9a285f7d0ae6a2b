// Command review-standin plays the cases of the review against the project's programs. The exit code is 0 if the rule held, 1 if it was broken
// and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

type play func(ctx context.Context, f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{"poison": poison, "withdrawn": withdrawn, "extra": extra, "impatient": impatient, "twin": twin}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE PROGRAMS RECORD")

		return exitNotRun
	}

	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer record.close()

	f, err := newFleet(record, os.Args[2])
	if err != nil {
		record.note("%v", err)

		return exitNotRun
	}
	defer f.close()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	broken, err := plays[os.Args[1]](ctx, f, os.Getenv("TROUBLE") != "0")

	switch {
	case err != nil || ctx.Err() != nil:
		record.note("the case could not run: %v %v", err, ctx.Err())

		return exitNotRun
	case broken:
		record.note("the rule is broken")

		return exitBroken
	default:
		record.note("the rule held")

		return exitHeld
	}
}
