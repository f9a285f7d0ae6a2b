package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func recoverCommand() *cli.Command {
	return &cli.Command{
		Name: "recover", Usage: "start a new generation from the highest version that the fleet holds, after the voters' disks are lost for good",
		Action: recoverFleet,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "`ADDRESSES` of nodes to read the version from; name some of every data centre", Required: true},
			&cli.StringFlag{Name: "onto", Usage: "`ADDRESS` of a controller that runs with an empty data folder", Required: true},
		},
	}
}

func recoverFleet(ctx context.Context, c *cli.Command) error {
	e, err := client(c)
	if err != nil {
		return err
	}

	onto, err := addresses([]string{c.String("onto")})
	if err != nil {
		return err
	}

	if err := refuseLiveQuorum(ctx, e); err != nil {
		return err
	}

	nodes, err := addresses(c.StringSlice("node"))
	if err != nil {
		return err
	}

	best, placements := highest(ctx, e, nodes)
	if tiller.VersionOf(best.GetVersion()).IsZero() {
		return launcher.Exitf(launcher.ExitUnreachable, "no node holds a version")
	}

	s, err := e.Operator(onto[0]).Recover(ctx, &wire.RecoverRequest{
		Version: best.GetVersion(), Items: best.GetItems(), Placements: placements,
	})
	if err != nil {
		return launcher.Exit(launcher.ExitFailed, err)
	}

	_, err = fmt.Fprintf(writer(c), "recovered version %s of node %s as %s\n",
		tiller.VersionOf(best.GetVersion()), best.GetNode(), tiller.VersionOf(s.GetVersion()))

	return err
}

// refuseLiveQuorum refuses while a leader holds its lease or any controller still has a log.
func refuseLiveQuorum(ctx context.Context, e *editor.Client) error {
	for _, s := range e.Statuses(ctx) {
		if s.GetCurrent() {
			return launcher.Exitf(launcher.ExitConflict, "%s leads with a quorum; nothing needs to be recovered", s.GetController())
		}

		if len(s.GetMembers()) > 0 {
			return launcher.Exitf(launcher.ExitConflict,
				"%s still has its log; restore the quorum, or stop it for good and leave it out of --controllers", s.GetController())
		}
	}

	return nil
}

// highest returns the node with the highest version and the latest claim groups that any node knows.
func highest(ctx context.Context, e *editor.Client, nodes []tiller.Address) (*wire.InspectReply, *wire.ClaimPlacements) {
	var (
		best       *wire.InspectReply
		placements *wire.ClaimPlacements
	)

	for _, a := range nodes {
		r, err := e.Inspector(a).Inspect(ctx, &wire.InspectRequest{})
		if err != nil {
			continue
		}

		if best == nil || tiller.VersionOf(r.GetVersion()).NewerThan(tiller.VersionOf(best.GetVersion())) {
			best = r
		}

		if r.GetPlacements().GetRevision() >= placements.GetRevision() {
			placements = r.GetPlacements()
		}
	}

	return best, placements
}
