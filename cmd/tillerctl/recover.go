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

	if err := checkNoQuorum(ctx, e); err != nil {
		return err
	}

	nodes, err := addresses(c.StringSlice("node"))
	if err != nil {
		return err
	}

	latest, placements := latestVersion(ctx, e, nodes)
	if tiller.VersionOf(latest.GetVersion()).IsZero() {
		return launcher.Exitf(launcher.ExitUnreachable, "no node stores a version")
	}

	s, err := e.Operator(onto[0]).Recover(ctx, &wire.RecoverRequest{
		Version: latest.GetVersion(), Items: latest.GetItems(), Placements: placements,
	})
	if err != nil {
		return launcher.Exit(launcher.ExitFailed, err)
	}

	_, err = fmt.Fprintf(writer(c), "recovered version %s of node %s as %s\n",
		tiller.VersionOf(latest.GetVersion()), latest.GetNode(), tiller.VersionOf(s.GetVersion()))

	return err
}

// checkNoQuorum returns an error if a leader holds its lease or if any controller still has a log.
func checkNoQuorum(ctx context.Context, e *editor.Client) error {
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

// latestVersion returns the reply of the node with the latest version, and the latest claim placements of any node. Nodes that do not
// respond are skipped.
func latestVersion(ctx context.Context, e *editor.Client, nodes []tiller.Address) (*wire.InspectReply, *wire.ClaimPlacements) {
	var (
		latest     *wire.InspectReply
		placements *wire.ClaimPlacements
	)

	for _, a := range nodes {
		r, err := e.Inspector(a).Inspect(ctx, &wire.InspectRequest{})
		if err != nil {
			continue
		}

		if latest == nil || tiller.VersionOf(r.GetVersion()).NewerThan(tiller.VersionOf(latest.GetVersion())) {
			latest = r
		}

		if r.GetPlacements().GetRevision() >= placements.GetRevision() {
			placements = r.GetPlacements()
		}
	}

	return latest, placements
}
