// Command quickstart runs a small fleet on loopback addresses, injects several kinds of failure and checks the system's guarantees.
package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "quickstart",
		Usage: "run a fleet with stand-ins, edit its configuration, break it and print what happened",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "examples", Usage: "`FOLDER` of the deployments", Value: "examples"},
			&cli.StringFlag{Name: "deployment", Usage: "`NAME` of the deployment: kigali or hill_country", Value: "kigali"},
			&cli.StringFlag{Name: "timeline", Usage: "write the time line as HTML to `FILE`"},
		},
		Commands: []*cli.Command{backendCommand()},
		Action:   run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	folder := filepath.Join(c.String("examples"), c.String("deployment"))

	var plan assembler.Plan
	if err := parser.ReadFile(filepath.Join(folder, "fleet.yaml"), &plan); err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	data, err := os.ReadFile(filepath.Join(folder, "document.yaml"))
	if err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	document, err := parser.Document(data)
	if err != nil {
		return launcher.Exit(launcher.ExitBadInput, err)
	}

	dataFolder, err := os.MkdirTemp("", "quickstart-")
	if err != nil {
		return err
	}

	defer func() { _ = os.RemoveAll(dataFolder) }()

	return newScenario(assembler.New(plan, dataFolder), document, c.Root().Writer, c.String("timeline")).run(ctx)
}
