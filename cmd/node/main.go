// Command node runs the node on a worker's VM.
package main

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"gitlab.com/sycamoretiller/sycamoretiller/platform"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/nodeserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Required: true}

	return &cli.Command{
		Name:  "node",
		Usage: "proxy the calls of the worker on this VM and keep its configuration up to date",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run until SIGTERM, then drain and leave", Flags: []cli.Flag{settings}, Action: run},
			{
				Name: "platform", Usage: "run on the users' platform with the settings file that it provides", Action: runOnPlatform,
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name: "settings", Usage: "the platform's settings `FILE`", Required: true, Sources: cli.EnvVars(platform.SettingsVariable),
					},
					&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` that serves metrics, none if zero"},
					&cli.BoolFlag{Name: "verbose", Usage: "also log served calls and lost messages"},
				},
			},
			{Name: "check", Usage: "check a settings file", Flags: []cli.Flag{settings}, Action: check},
		},
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command) error {
	log, err := launcher.NewLog(c.Bool("verbose"))
	if err != nil {
		return err
	}

	return platform.RunNode(ctx, c.String("settings"), c.Int("metrics-port"), log)
}

func check(_ context.Context, c *cli.Command) error {
	s, err := nodeserver.ReadSettings(c.String("settings"))
	if err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are valid\n", s.Name)

	return err
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := nodeserver.ReadSettings(c.String("settings"))
	if err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	log, err := launcher.NewLog(s.Verbose)
	if err != nil {
		return err
	}

	server, err := nodeserver.New(s, nodeserver.Options{Log: log, Metrics: metrics.NewRegistry()})
	if err != nil {
		return err
	}

	log.Info("node starts", "name", s.Name, "data_centre", s.DataCentre, "service", s.Service, "address", s.Address, "call_address", s.CallAddress)

	err = runner.Run(ctx, server.Parts()...)
	log.Info("node stopped", "name", s.Name)

	return err
}
