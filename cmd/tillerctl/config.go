package main

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/differ"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const editTimeout = 30 * time.Second

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read and edit the document",
		Commands: []*cli.Command{
			{Name: "show", Usage: "print the document in force as YAML", Action: showConfig},
			{Name: "check", Usage: "check a document file", ArgsUsage: "FILE", Action: checkConfig},
			{Name: "diff", Usage: "compare a document file with the document in force", ArgsUsage: "FILE", Action: diffConfig},
			{
				Name: "apply", Usage: "bring a document file into force", ArgsUsage: "FILE", Action: applyConfig,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "reason", Usage: "why, for the history", Required: true},
					&cli.StringFlag{Name: "author", Usage: "who, for the history; the system's user by default"},
					&cli.StringFlag{Name: "base", Usage: "`VERSION` that the file was made from; the one in force by default"},
					&cli.StringFlag{Name: "edit-id", Usage: "`ID` of an earlier try whose outcome is unknown"},
				},
			},
			{Name: "history", Usage: "list accepted versions, newest first", Action: showHistory},
		},
	}
}

// show returns the leader's document and history, or those of another controller if no leader answers.
func show(ctx context.Context, c *cli.Command) (*wire.ShowReply, error) {
	e, err := client(c)
	if err != nil {
		return nil, err
	}

	r, err := e.Show(ctx)

	return r, unreachableError(err)
}

func showConfig(ctx context.Context, c *cli.Command) error {
	r, err := show(ctx, c)
	if err != nil {
		return err
	}

	spec, err := encoder.Decode(r.GetItems())
	if err != nil {
		return err
	}

	if asJSON(c) {
		return printJSON(c, spec)
	}

	text, err := parser.Format(spec)
	if err != nil {
		return err
	}

	_, err = fmt.Fprintf(writer(c), "# version %s%s\n%s", tiller.VersionOf(r.GetVersion()), staleNote(r.GetCurrent()), text)

	return err
}

func staleNote(current bool) string {
	if current {
		return ""
	}

	return " (no controller holds the lease: a newer version may exist)"
}

// readDocument parses and validates a document file. The error lists every fault with its line.
func readDocument(path string) (tiller.DocumentSpec, error) {
	data, err := readFile(path)
	if err != nil {
		return tiller.DocumentSpec{}, err
	}

	spec, err := parser.Document(data)
	if err != nil {
		return spec, launcher.Exitf(launcher.ExitBadInput, "%s: %s", path, err)
	}

	_, faults := validator.Validate(spec)
	if len(faults) == 0 {
		return spec, nil
	}

	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", path, max(parser.Line(data, "$."+f.Path()), 1), f))
	}

	return spec, launcher.Exitf(launcher.ExitBadInput, "%s", strings.Join(lines, "\n"))
}

func checkConfig(_ context.Context, c *cli.Command) error {
	spec, err := readDocument(c.Args().First())
	if err != nil {
		return err
	}

	_, err = fmt.Fprintf(writer(c), "valid: %d services, %d routes, %d exceptions\n", len(spec.Services), len(spec.Routes), len(spec.Exceptions))

	return err
}

// change is one difference between two documents as JSON.
type change struct {
	Change string `json:"change"`
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func compare(before, after []*wire.Item) []change {
	old := map[string]string{}
	for _, item := range before {
		old[item.GetPath()] = string(item.GetValue())
	}

	upserts, removes := differ.Between(before, after)

	out := make([]change, 0, len(upserts)+len(removes))

	for _, item := range upserts {
		kind := "change"
		if _, ok := old[item.GetPath()]; !ok {
			kind = "add"
		}

		out = append(out, change{Change: kind, Path: item.GetPath(), Before: old[item.GetPath()], After: string(item.GetValue())})
	}

	for _, path := range removes {
		out = append(out, change{Change: "remove", Path: path, Before: old[path]})
	}

	return out
}

func diffConfig(ctx context.Context, c *cli.Command) error {
	spec, err := readDocument(c.Args().First())
	if err != nil {
		return err
	}

	r, err := show(ctx, c)
	if err != nil {
		return err
	}

	items, err := encoder.Encode(spec)
	if err != nil {
		return err
	}

	changes := compare(r.GetItems(), items)
	if asJSON(c) {
		return printJSON(c, changes)
	}

	return table(c, "CHANGE\tPATH\tBEFORE\tAFTER", func(w io.Writer) {
		for _, x := range changes {
			row(w, "%s\t%s\t%s\t%s", x.Change, x.Path, x.Before, x.After)
		}
	})
}

func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}

	if u, err := user.Current(); err == nil {
		return u.Username
	}

	return "unknown"
}

func applyConfig(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()

	spec, err := readDocument(c.Args().First())
	if err != nil {
		return err
	}

	e, err := client(c)
	if err != nil {
		return err
	}

	edit, err := newEdit(ctx, c, e, spec)
	if err != nil {
		return err
	}

	// If the answer was lost, the reply is still set and advises how to proceed.
	r, err := e.Apply(ctx, edit)
	if r == nil {
		return unreachableError(err)
	}

	return reportEdit(c, edit, r)
}

func newEdit(ctx context.Context, c *cli.Command, e *editor.Client, spec tiller.DocumentSpec) (*wire.Edit, error) {
	shown, err := e.Show(ctx)
	if err != nil {
		return nil, unreachableError(err)
	}

	base := tiller.VersionOf(shown.GetVersion())

	if text := c.String("base"); text != "" {
		if base, err = findVersion(shown, text); err != nil {
			return nil, err
		}
	}

	edit, err := editor.NewEdit(spec, base, author(c), c.String("reason"))
	if err != nil {
		return nil, err
	}

	if id := c.String("edit-id"); id != "" {
		edit.Id = id
	}

	return edit, nil
}

// findVersion returns the accepted version that is written as the given text; "none" stands for the version before the first edit.
func findVersion(shown *wire.ShowReply, text string) (tiller.Version, error) {
	for _, h := range shown.GetHistory() {
		if v := tiller.VersionOf(h.GetVersion()); v.String() == text {
			return v, nil
		}
	}

	if v := (tiller.Version{}); v.String() == text {
		return v, nil
	}

	return tiller.Version{}, launcher.Exitf(launcher.ExitBadInput, "version %q is not in the history", text)
}

// editReport is the outcome of an edit as JSON. Since lists the edits that were accepted after the base version of a conflicting edit.
type editReport struct {
	EditID   string   `json:"edit_id"`
	Accepted bool     `json:"accepted"`
	Verdict  string   `json:"verdict"`
	Version  string   `json:"version,omitempty"`
	Faults   []string `json:"faults,omitempty"`
	Since    []string `json:"since,omitempty"`
	Advice   string   `json:"advice,omitempty"`
}

func reportEdit(c *cli.Command, edit *wire.Edit, r *wire.ApplyReply) error {
	report := editReport{
		EditID: edit.GetId(), Accepted: r.GetOutcome().GetAccepted(), Verdict: r.GetVerdict(), Faults: r.GetFaults(), Advice: r.GetAdvice(),
	}

	if r.GetOutcome() != nil {
		report.Version = tiller.VersionOf(r.GetOutcome().GetVersion()).String()
	}

	for _, h := range r.GetSince() {
		report.Since = append(report.Since, fmt.Sprintf("%s by %s (%s): %s",
			tiller.VersionOf(h.GetVersion()), h.GetAuthor(), h.GetReason(), strings.Join(h.GetChanged(), " ")))
	}

	if asJSON(c) {
		if err := printJSON(c, report); err != nil {
			return err
		}
	}

	return editResult(c, report)
}

func editResult(c *cli.Command, r editReport) error {
	switch {
	case r.Accepted && asJSON(c):
		return nil
	case r.Accepted:
		_, err := fmt.Fprintf(writer(c), "accepted as version %s\n", r.Version)

		return err
	case len(r.Faults) > 0:
		return launcher.Exitf(launcher.ExitBadInput, "refused: %s", strings.Join(r.Faults, "\n"))
	case r.Version != "":
		return launcher.Exitf(launcher.ExitConflict, "conflict: version %s is in force; accepted since the base:\n%s\n%s",
			r.Version, strings.Join(r.Since, "\n"), r.Advice)
	case r.Verdict == tiller.VerdictMayHaveRun.String():
		return launcher.Exitf(launcher.ExitUnknown, "outcome unknown: %s (--edit-id %s)", r.Advice, r.EditID)
	default:
		return launcher.Exitf(launcher.ExitFailed, "not accepted: %s (--edit-id %s)", r.Advice, r.EditID)
	}
}

// historyRow is one accepted version as JSON.
type historyRow struct {
	Version string   `json:"version"`
	TimeMs  int64    `json:"time_ms"`
	Author  string   `json:"author"`
	Reason  string   `json:"reason"`
	EditID  string   `json:"edit_id"`
	Changed []string `json:"changed"`
}

func showHistory(ctx context.Context, c *cli.Command) error {
	r, err := show(ctx, c)
	if err != nil {
		return err
	}

	var rows []historyRow

	for i := len(r.GetHistory()) - 1; i >= 0; i-- {
		h := r.GetHistory()[i]
		rows = append(rows, historyRow{
			Version: tiller.VersionOf(h.GetVersion()).String(), TimeMs: h.GetAt(), Author: h.GetAuthor(), Reason: h.GetReason(),
			EditID: h.GetEditId(), Changed: h.GetChanged(),
		})
	}

	if asJSON(c) {
		return printJSON(c, rows)
	}

	return table(c, "VERSION\tTIME\tAUTHOR\tREASON\tCHANGED", func(w io.Writer) {
		for _, h := range rows {
			row(w, "%s\t%s\t%s\t%s\t%s", h.Version, time.UnixMilli(h.TimeMs).UTC().Format(time.DateTime), h.Author, h.Reason, strings.Join(h.Changed, " "))
		}
	})
}
