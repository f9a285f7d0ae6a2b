// Command controller runs a controller of the configuration source on a control VM.
package main

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"gitlab.com/sycamoretiller/sycamoretiller/platform"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Required: true}

	return &cli.Command{
		Name:  "controller",
		Usage: "replicate accepted configurations and serve them to the data centres",
		Commands: []*cli.Command{
			{
				Name: "bootstrap", Usage: "make the empty data folder the first voter of a new cluster; once per cluster",
				Flags: []cli.Flag{settings}, Action: bootstrap,
			},
			{Name: "run", Usage: "run until SIGTERM; an empty data folder joins the peers", Flags: []cli.Flag{settings}, Action: run},
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

func readSettings(c *cli.Command) (controlserver.Settings, error) {
	s, err := controlserver.ReadSettings(c.String("settings"))
	if err != nil {
		return s, launcher.Exit(launcher.ExitBadInput, err)
	}

	return s, nil
}

func runOnPlatform(ctx context.Context, c *cli.Command) error {
	log, err := launcher.NewLog(c.Bool("verbose"))
	if err != nil {
		return err
	}

	return platform.RunController(ctx, c.String("settings"), c.Int("metrics-port"), log)
}

func check(_ context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return err
	}

	_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are valid\n", s.Name)

	return err
}

func bootstrap(_ context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return err
	}

	if err := controlserver.Bootstrap(s); err != nil {
		return err
	}

	_, err = fmt.Fprintf(c.Root().Writer, "%s is the first voter of a new cluster\n", s.Name)

	return err
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c)
	if err != nil {
		return err
	}

	log, err := launcher.NewLog(s.Verbose)
	if err != nil {
		return err
	}

	server, err := controlserver.New(s, controlserver.Options{Log: log, Metrics: metrics.NewRegistry()})
	if err != nil {
		return err
	}

	log.Info("controller starts", "name", s.Name, "data_centre", s.DataCentre, "address", s.Address)

	err = runner.Run(ctx, server.Parts()...)
	log.Info("controller stopped", "name", s.Name)

	return err
}
