package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
)

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run one stand-in backend server that announces itself to the node on its VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "worker", Usage: "`NAME` of the worker", Required: true},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS` to listen on", Required: true},
			&cli.StringFlag{Name: "node", Usage: "`ADDRESS` of the node's control port", Required: true},
			&cli.IntFlag{Name: "slots", Usage: "requests that run at once", Value: 10},
			&cli.IntFlag{Name: "connections", Usage: "connections that may be open", Value: 130},
			&cli.DurationFlag{Name: "service-time", Usage: "time that a request takes", Value: 4 * time.Millisecond},
			&cli.DurationFlag{Name: "cold-start", Usage: "time before the server is ready", Value: time.Second},
		},
		Action: runBackend,
	}
}

func runBackend(ctx context.Context, c *cli.Command) error {
	for _, a := range []string{c.String("address"), c.String("node")} {
		if err := transporter.CheckAddress(a); err != nil {
			return launcher.Exit(launcher.ExitBadInput, err)
		}
	}

	return standin.NewBackend(standin.BackendOptions{
		Worker: tiller.Worker(c.String("worker")), Service: tiller.Service(c.String("service")), Address: c.String("address"),
		NodeControlAddress: c.String("node"), Slots: c.Int("slots"), Connections: c.Int("connections"), ServiceTime: c.Duration("service-time"),
		ColdStart: c.Duration("cold-start"), RestartDelay: c.Duration("cold-start"), RunLog: standin.NewRunLog(),
	}).Run(ctx)
}
