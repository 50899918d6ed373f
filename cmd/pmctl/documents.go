package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/settings"
)

type validateCommand struct {
	File string `arg:"" help:"Document file."`
}

type validationReport struct {
	Valid      bool   `json:"valid"`
	Deployment string `json:"deployment"`
	Number     uint64 `json:"number"`
	Digest     string `json:"digest"`
}

func (c *validateCommand) run(_ context.Context, s *session) error {
	raw, doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	report := validationReport{Valid: true, Deployment: doc.Deployment, Number: doc.Number, Digest: document.Digest(raw)}
	return s.out.print(report, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %s number %d, digest %s\n", report.Deployment, report.Number, report.Digest)
	})
}

type applyCommand struct {
	File string `arg:"" help:"Document file."`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	raw, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	return submit(ctx, s, settings.Trial, raw)
}

type promoteCommand struct {
	File   string `arg:"" optional:"" help:"Document file; without it, the number from trial is promoted."`
	Number uint64 `help:"Number in trial; 0 means the one in force there."`
}

func (c *promoteCommand) run(ctx context.Context, s *session) error {
	if c.File != "" {
		raw, _, err := readDocument(c.File)
		if err != nil {
			return err
		}
		return submit(ctx, s, settings.Production, raw)
	}
	raw, err := s.client.Document(ctx, string(settings.Trial), c.Number)
	if err != nil {
		return errors.Trace(err)
	}
	return submit(ctx, s, settings.Production, raw)
}

// readDocument reads a document file and validates it, so that an invalid document is not sent.
func readDocument(file string) ([]byte, *document.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Annotate(err, "read document")
	}
	doc, err := document.Decode(raw)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "%s", file)
	}
	return raw, doc, nil
}

func submit(ctx context.Context, s *session, env settings.Environment, raw []byte) error {
	report, err := s.client.Submit(ctx, string(env), raw)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.out.print(report, func(w io.Writer) { printSubmit(w, env, report) }); err != nil {
		return errors.Trace(err)
	}
	if report.Status != "accepted" {
		return errors.Annotate(errNotAccepted, report.Message)
	}
	return nil
}

func printSubmit(w io.Writer, env settings.Environment, r *control.SubmitReport) {
	if r.Status == "accepted" {
		suffix := ""
		if r.Repeated {
			suffix = " (accepted before; this is the first result)"
		}
		fmt.Fprintf(w, "accepted in %s: number %d, digest %s, revision %d%s\n", env, r.Number, r.Digest, r.Revision, suffix)
		return
	}
	fmt.Fprintf(w, "%s in %s: number %d; in force is number %d, digest %s\n", r.Status, env, r.Number, r.NumberInForce, r.DigestInForce)
}
