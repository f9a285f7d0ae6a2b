// Command tillerctl is the operators' tool: it edits the configuration and shows which version is in force in each data centre.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "tillerctl",
		Usage: "edit the fleet's configuration and read back what is in force where",
		Description: "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another edit, " +
			"4 outcome unknown (send the same edit id again), 5 nothing answered.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "controllers", Usage: "`ADDRESSES` of controllers", Sources: cli.EnvVars("TILLER_CONTROLLERS")},
			&cli.StringFlag{Name: "output", Usage: "`FORMAT`: table or json", Value: "table", Validator: oneOf("table", "json")},
		},
		Commands: []*cli.Command{
			configCommand(), statusCommand(), explainCommand(), backendsCommand(), quarantineCommand(), timelineCommand(), traceCommand(), recoverCommand(),
		},
	}
}

// oneOf returns a validator of flags that accepts only the given values.
func oneOf(allowed ...string) func(string) error {
	set := tiller.NewSet(allowed...)

	return func(s string) error {
		if !set.Has(s) {
			return launcher.Exitf(launcher.ExitBadInput, "%q; allowed are %v", s, set.Sorted())
		}

		return nil
	}
}

// addresses validates and converts a list of addresses.
func addresses(texts []string) ([]tiller.Address, error) {
	for _, t := range texts {
		if err := transporter.CheckAddress(t); err != nil {
			return nil, launcher.Exit(launcher.ExitBadInput, err)
		}
	}

	return transporter.Addresses(texts), nil
}

func client(c *cli.Command) (*editor.Client, error) {
	controllers, err := addresses(c.StringSlice("controllers"))
	if err != nil {
		return nil, err
	}

	if len(controllers) == 0 {
		return nil, launcher.Exitf(launcher.ExitBadInput, "name the controllers with --controllers or TILLER_CONTROLLERS")
	}

	return editor.New(controllers), nil
}

// unreachableError adds the exit code and a hint to an error of a client, and returns nil for nil.
func unreachableError(err error) error {
	if err == nil {
		return nil
	}

	return launcher.Exitf(launcher.ExitUnreachable, "%s; check --controllers and whether the controllers run", err)
}

func asJSON(c *cli.Command) bool { return c.String("output") == "json" }

func writer(c *cli.Command) io.Writer { return c.Root().Writer }

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(writer(c))
	e.SetIndent("", "  ")

	return e.Encode(v)
}

// table prints a header and rows of tab-separated cells as aligned columns.
func table(c *cli.Command, header string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(writer(c), 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}

	rows(w)

	return w.Flush()
}

func row(w io.Writer, format string, args ...any) {
	// A failed write is reported when the table is flushed.
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// nodeAddresses returns the nodes given on the command line or, without any, the nodes that the controllers know.
func nodeAddresses(ctx context.Context, c *cli.Command, e *editor.Client) ([]tiller.Address, error) {
	given, err := addresses(c.StringSlice("node"))
	if err != nil || len(given) > 0 {
		return given, err
	}

	s, err := e.Status(ctx)
	if err != nil {
		return nil, unreachableError(err)
	}

	return editor.NodeAddresses(s), nil
}

func nodeFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "node", Usage: "`ADDRESSES` of nodes to ask; without it, nodes that the controllers know"}
}

func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, launcher.Exitf(launcher.ExitBadInput, "name a document file")
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return nil, launcher.Exit(launcher.ExitBadInput, err)
	}

	return data, nil
}
