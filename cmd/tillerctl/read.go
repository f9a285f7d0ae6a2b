package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "print which version is in force in each data centre, laggards by name", Action: status}
}

// dataCentreStatus is the status of one data centre as JSON. InForce counts the nodes on the latest version.
type dataCentreStatus struct {
	DataCentre  string         `json:"data_centre"`
	Nodes       uint32         `json:"nodes"`
	Unreachable uint32         `json:"unreachable"`
	InForce     uint32         `json:"in_force"`
	Versions    map[string]int `json:"versions"`
	Laggards    []string       `json:"laggards"`
	ReportAgeMs int64          `json:"report_age_ms"`
}

// controllerStatus is the status of one controller as JSON.
type controllerStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
}

// fleetStatus is the status of the fleet as JSON. Answered is the controller that reported it; unless Current is set, that
// controller does not hold the leader's lease and a later version may exist.
type fleetStatus struct {
	Version     string             `json:"version"`
	Current     bool               `json:"current"`
	Answered    string             `json:"answered_by"`
	Term        uint64             `json:"term"`
	Controllers []controllerStatus `json:"controllers"`
	DataCentres []dataCentreStatus `json:"data_centres"`
}

func newFleetStatus(s *wire.StatusReply) fleetStatus {
	version := tiller.VersionOf(s.GetVersion())
	f := fleetStatus{Version: version.String(), Current: s.GetCurrent(), Answered: s.GetController(), Term: s.GetTerm()}

	for _, m := range s.GetMembers() {
		f.Controllers = append(f.Controllers, controllerStatus{
			Name: m.GetName(), Address: m.GetAddress(), Voter: m.GetVoter(), Leader: m.GetAddress() == s.GetLeader(),
		})
	}

	for _, r := range s.GetReports() {
		d := dataCentreStatus{
			DataCentre: r.GetDataCentre(), Nodes: r.GetNodes(), Unreachable: r.GetUnreachable(), Versions: map[string]int{},
			Laggards: r.GetLaggards(), ReportAgeMs: s.GetNow() - r.GetAt(),
		}

		for _, n := range r.GetCounts() {
			d.Versions[tiller.VersionOf(n.GetVersion()).String()] = int(n.GetNodes())

			if tiller.VersionOf(n.GetVersion()) == version {
				d.InForce = n.GetNodes()
			}
		}

		f.DataCentres = append(f.DataCentres, d)
	}

	return f
}

func status(ctx context.Context, c *cli.Command) error {
	e, err := client(c)
	if err != nil {
		return err
	}

	s, err := e.Status(ctx)
	if err != nil {
		return unreachableError(err)
	}

	f := newFleetStatus(s)
	if asJSON(c) {
		return printJSON(c, f)
	}

	if _, err := fmt.Fprintf(writer(c), "version %s%s, term %d, answered by %s\n\n", f.Version, staleNote(f.Current), f.Term, f.Answered); err != nil {
		return err
	}

	if err := table(c, "CONTROLLER\tADDRESS\tROLE", func(w io.Writer) {
		for _, m := range f.Controllers {
			row(w, "%s\t%s\t%s", m.Name, m.Address, roleOf(m))
		}
	}); err != nil {
		return err
	}

	return table(c, "\nDATA CENTRE\tNODES\tIN FORCE\tUNREACHABLE\tREPORT AGE\tLAGGARDS", func(w io.Writer) {
		for _, d := range f.DataCentres {
			row(w, "%s\t%d\t%d\t%d\t%d ms\t%s", d.DataCentre, d.Nodes, d.InForce, d.Unreachable, d.ReportAgeMs, strings.Join(d.Laggards, "; "))
		}
	})
}

func roleOf(m controllerStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print each setting in force at a place and where it comes from", Action: explain,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "data-centre"}, &cli.StringFlag{Name: "service"}, &cli.StringFlag{Name: "worker"},
			&cli.StringFlag{Name: "node", Usage: "`ADDRESS` of a node whose own version is explained instead of the accepted one"},
		},
	}
}

// settingRow is the effective value of one setting as JSON.
type settingRow struct {
	Setting string `json:"setting"`
	Value   int64  `json:"value"`
	Unit    string `json:"unit"`
	Source  string `json:"source"`
}

// fetchItems returns a version and its items from the node given on the command line or, without one, from the controllers.
func fetchItems(ctx context.Context, c *cli.Command) (*wire.Version, []*wire.Item, error) {
	if text := c.String("node"); text != "" {
		node, err := addresses([]string{text})
		if err != nil {
			return nil, nil, err
		}

		r, err := editor.New(nil).Inspect(ctx, node)

		return r.GetVersion(), r.GetItems(), unreachableError(err)
	}

	r, err := show(ctx, c)

	return r.GetVersion(), r.GetItems(), err
}

func explain(ctx context.Context, c *cli.Command) error {
	version, items, err := fetchItems(ctx, c)
	if err != nil {
		return err
	}

	spec, err := encoder.Decode(items)
	if err != nil {
		return err
	}

	d, faults := validator.Validate(spec)
	if len(faults) > 0 {
		return launcher.Exitf(launcher.ExitFailed, "no document is in force yet")
	}

	location := tiller.NewLocation(tiller.DataCentre(c.String("data-centre")), tiller.Service(c.String("service")), tiller.Worker(c.String("worker")))
	e := compiler.Compile(d, location)

	var rows []settingRow
	for _, s := range tiller.SettingValues() {
		rows = append(rows, settingRow{Setting: s.String(), Value: e.Value(s), Unit: s.Range().Unit(), Source: e.Source(s).String()})
	}

	if asJSON(c) {
		return printJSON(c, rows)
	}

	return table(c, "SETTING\tVALUE\tSOURCE (version "+tiller.VersionOf(version).String()+")", func(w io.Writer) {
		for _, r := range rows {
			row(w, "%s\t%d %s\t%s", r.Setting, r.Value, r.Unit, r.Source)
		}
	})
}

func backendsCommand() *cli.Command {
	return &cli.Command{
		Name: "backends", Usage: "print the backend servers that a node knows", Action: backends, Flags: []cli.Flag{nodeFlag()},
	}
}

// backendRow is one backend server as JSON.
type backendRow struct {
	Worker      string `json:"worker"`
	DataCentre  string `json:"data_centre"`
	Service     string `json:"service"`
	State       string `json:"state"`
	Liveness    string `json:"liveness"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	CallAddress string `json:"call_address"`
}

func inspect(ctx context.Context, c *cli.Command) (*wire.InspectReply, error) {
	e, err := clientForNodes(c)
	if err != nil {
		return nil, err
	}

	nodes, err := nodeAddresses(ctx, c, e)
	if err != nil {
		return nil, err
	}

	r, err := e.Inspect(ctx, nodes)

	return r, unreachableError(err)
}

// clientForNodes returns a client of the controllers. If nodes are given but no controllers, the client can only query nodes.
func clientForNodes(c *cli.Command) (*editor.Client, error) {
	if len(c.StringSlice("node")) > 0 && len(c.StringSlice("controllers")) == 0 {
		return editor.New(nil), nil
	}

	return client(c)
}

func backends(ctx context.Context, c *cli.Command) error {
	r, err := inspect(ctx, c)
	if err != nil {
		return err
	}

	rows := make([]backendRow, 0, len(r.GetEntries()))
	for _, e := range r.GetEntries() {
		rows = append(rows, backendRow{
			Worker: e.GetName(), DataCentre: e.GetDataCentre(), Service: e.GetService(),
			State:    tiller.StateName(e.GetState()),
			Liveness: tiller.LivenessName(e.GetLiveness()),
			Slots:    e.GetSlots(), Connections: e.GetConnections(), CallAddress: e.GetCallAddress(),
		})
	}

	if asJSON(c) {
		return printJSON(c, rows)
	}

	return table(c, "WORKER\tDATA CENTRE\tSERVICE\tSTATE\tVM\tSLOTS\tCALL ADDRESS", func(w io.Writer) {
		for _, b := range rows {
			row(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s", b.Worker, b.DataCentre, b.Service, b.State, b.Liveness, b.Slots, b.CallAddress)
		}
	})
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list and lift requests that crashed backend servers",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print the requests with strikes", Flags: []cli.Flag{nodeFlag()}, Action: listQuarantine},
			{Name: "lift", Usage: "let a request run again", ArgsUsage: "DIGEST", Flags: []cli.Flag{nodeFlag()}, Action: liftQuarantine},
		},
	}
}

// quarantineRow is a request that has crashed backend servers as JSON. Strikes counts the crashes.
type quarantineRow struct {
	Digest  string `json:"digest"`
	Route   string `json:"route"`
	Strikes uint32 `json:"strikes"`
}

func listQuarantine(ctx context.Context, c *cli.Command) error {
	r, err := inspect(ctx, c)
	if err != nil {
		return err
	}

	rows := make([]quarantineRow, 0, len(r.GetQuarantined()))
	for _, q := range r.GetQuarantined() {
		rows = append(rows, quarantineRow{Digest: hex.EncodeToString(q.GetDigest()), Route: q.GetRoute(), Strikes: q.GetCount()})
	}

	if asJSON(c) {
		return printJSON(c, rows)
	}

	return table(c, "DIGEST\tROUTE\tSTRIKES", func(w io.Writer) {
		for _, q := range rows {
			row(w, "%s\t%s\t%d", q.Digest, q.Route, q.Strikes)
		}
	})
}

func liftQuarantine(ctx context.Context, c *cli.Command) error {
	digest, err := hex.DecodeString(c.Args().First())
	if err != nil || len(digest) == 0 {
		return launcher.Exitf(launcher.ExitBadInput, "name the digest as `tillerctl quarantine list` prints it")
	}

	e, err := clientForNodes(c)
	if err != nil {
		return err
	}

	nodes, err := nodeAddresses(ctx, c, e)
	if err != nil {
		return err
	}

	for _, a := range nodes {
		if _, err := e.Inspector(a).Lift(ctx, &wire.LiftRequest{Digest: digest}); err == nil {
			_, err = fmt.Fprintln(writer(c), "lifted")

			return err
		}
	}

	return launcher.Exitf(launcher.ExitUnreachable, "no node answered")
}
