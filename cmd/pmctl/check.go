package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/document/lint"
	"pistachiomount.example/pistachiomount/operator"
	"pistachiomount.example/pistachiomount/settings"
)

type checkCommand struct {
	File        string               `arg:"" help:"Document file."`
	Environment settings.Environment `default:"trial" help:"Environment whose document is compared: trial or production."`
	Offline     bool                 `help:"Do not compare with the document in force."`
	Strict      bool                 `help:"Exit with 1 if there are warnings."`
	JSON        bool                 `name:"json" help:"The same as --output json."`
}

// run prints the findings also if the document in force cannot be fetched.
func (c *checkCommand) run(ctx context.Context, s *session) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Annotate(err, "read document")
	}
	o := lint.Options{Consecutive: c.Environment == settings.Trial, MinBurst: control.MinCustomerBurst}
	var fetchErr error
	if !c.Offline {
		o.InForce, o.DigestInForce, fetchErr = inForce(ctx, s.client, c.Environment)
	}
	report := lint.Check(raw, o)
	out := &printer{w: s.out.w, json: s.out.json || c.JSON}
	if err := out.print(report, func(w io.Writer) { printCheck(w, report) }); err != nil {
		return errors.Trace(err)
	}
	return c.result(report, fetchErr)
}

// result returns the error that determines the exit code: errors of the document come first.
func (c *checkCommand) result(report *lint.Report, fetchErr error) error {
	switch {
	case report.Count(lint.SeverityError) > 0:
		return errHasErrors
	case fetchErr != nil:
		return errors.Trace(fetchErr)
	case c.Strict && report.Count(lint.SeverityWarning) > 0:
		return errHasWarnings
	}
	return nil
}

// inForce returns the document in force in an environment and its digest, or nil if there is none yet.
func inForce(ctx context.Context, client *operator.Client, env settings.Environment) (*document.Document, string, error) {
	raw, err := client.Document(ctx, string(env), 0)
	var rejected *operator.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	doc, err := document.Decode(raw)
	if err != nil {
		return nil, "", errors.Errorf("document in force: %v", err) // not an error of the file
	}
	return doc, document.Digest(raw), nil
}

func printCheck(w io.Writer, r *lint.Report) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	for _, change := range r.Changes {
		writeRow(w, change.Path, change.Old, "->", change.New)
	}
	fmt.Fprintf(w, "%d errors, %d warnings", r.Count(lint.SeverityError), r.Count(lint.SeverityWarning))
	if r.Compared {
		fmt.Fprintf(w, ", %d differences from the document in force", len(r.Changes))
	}
	fmt.Fprintln(w)
}
