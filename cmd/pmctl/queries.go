package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/settings"
)

type initCommand struct{}

func (c *initCommand) run(ctx context.Context, s *session) error {
	report, err := s.client.Init(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return s.out.print(report, func(w io.Writer) { fmt.Fprintf(w, "cluster %s formed\n", report.ClusterID) })
}

type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	report, err := s.client.Status(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return s.out.print(report, func(w io.Writer) {
		fmt.Fprintf(w, "cluster %s, leader %s, term %d\n\n", report.ClusterID, report.Leader, report.Term)
		writeRow(w, "CONTROL VM", "REGION", "FAILURE DOMAIN", "VOTER", "RPC ADDRESS")
		for _, m := range report.Members {
			writeRow(w, m.Name, m.Region, m.FailureDomain, m.Voter, m.RPCAddress)
		}
		for _, env := range []settings.Environment{settings.Trial, settings.Production} {
			e := report.Environments[string(env)]
			fmt.Fprintf(w, "\n%s: number %d, revision %d, %d jobs queued\n", env, e.Number, e.Revision, e.Queued)
			writeRow(w, "ENTRY VM", "REGION", "STATE", "REVISION", "VIEW AGE", "LOAD")
			for _, vm := range e.VMs {
				writeRow(w, vm.Name, vm.Region, vm.State, vm.Revision, time.Duration(vm.ViewAgeMS)*time.Millisecond, fmt.Sprintf("%.2f", vm.Load))
			}
		}
	})
}

type historyCommand struct {
	Environment settings.Environment `default:"production" help:"trial or production."`
}

func (c *historyCommand) run(ctx context.Context, s *session) error {
	report, err := s.client.History(ctx, string(c.Environment))
	if err != nil {
		return errors.Trace(err)
	}
	return s.out.print(report, func(w io.Writer) {
		writeRow(w, "NUMBER", "REVISION", "ACCEPTED", "OPERATOR", "DIGEST")
		for _, d := range report.Documents {
			writeRow(w, d.Number, d.Revision, time.UnixMilli(d.AcceptedMS).UTC().Format(time.RFC3339), d.Operator, d.Digest)
		}
	})
}

type diffCommand struct {
	File        string               `arg:"" help:"Document file."`
	Environment settings.Environment `default:"trial" help:"trial or production."`
}

func (c *diffCommand) run(ctx context.Context, s *session) error {
	_, after, err := readDocument(c.File)
	if err != nil {
		return err
	}
	raw, err := s.client.Document(ctx, string(c.Environment), 0)
	if err != nil {
		return errors.Trace(err)
	}
	before, err := document.Decode(raw)
	if err != nil {
		return errors.Trace(err)
	}
	changes := document.Diff(before, after)
	return s.out.print(changes, func(w io.Writer) {
		for _, change := range changes {
			writeRow(w, change.Path, change.Old, "->", change.New)
		}
	})
}

type showCommand struct {
	Environment settings.Environment `default:"production" help:"trial or production."`
	Number      uint64               `help:"Number; 0 means the one in force."`
}

func (c *showCommand) run(ctx context.Context, s *session) error {
	raw, err := s.client.Document(ctx, string(c.Environment), c.Number)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = s.out.w.Write(raw)
	return errors.Trace(err)
}

type drainCommand struct {
	Region   string `help:"Region to drain."`
	Upstream string `help:"Upstream to drain."`
	Undo     bool   `help:"Remove the drain instead."`
	To       string `required:"" help:"File to write the new document to; apply and promote it."`
}

func (c *drainCommand) run(ctx context.Context, s *session) error {
	if (c.Region == "") == (c.Upstream == "") {
		return errors.Annotate(settings.ErrUsage, "set exactly one of --region and --upstream")
	}
	raw, err := s.client.Document(ctx, string(settings.Trial), 0)
	if err != nil {
		return errors.Trace(err)
	}
	drain := document.Drain{Region: c.Region, Upstream: c.Upstream}
	edited, err := document.EditDrain(raw, drain, c.Undo)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(c.To, edited, 0o600); err != nil {
		return errors.Annotate(err, "write document")
	}
	return s.out.print(map[string]string{"file": c.To}, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s: apply it to trial, then promote it\n", c.To)
	})
}
