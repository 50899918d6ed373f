package main

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/operator"
	"pistachiomount.example/pistachiomount/settings"
)

// options are the flags and commands of the program.
type options struct {
	Control []settings.Address `help:"HTTP addresses of control daemons."`
	Token   string             `secret:"" help:"Operator token; better set by PM_TOKEN."`
	Output  string             `default:"text" enum:"text,json" help:"Format of the answer: text or json."`
	Timeout time.Duration      `default:"30s" help:"Time limit of the command."`

	Init     initCommand     `cmd:"" help:"Form the cluster, once, at the first control address."`
	Validate validateCommand `cmd:"" help:"Check a document without sending it."`
	Check    checkCommand    `cmd:"" help:"Check a document for errors, entries without effect and contradicting limits, and compare it with the one in force."`
	Apply    applyCommand    `cmd:"" help:"Put a document in force in trial."`
	Promote  promoteCommand  `cmd:"" help:"Put a document that trial accepted in force in production."`
	Status   statusCommand   `cmd:"" help:"Show what is in force on which daemon."`
	History  historyCommand  `cmd:"" help:"List accepted documents, newest first."`
	Diff     diffCommand     `cmd:"" help:"Compare a document with the one in force."`
	Drain    drainCommand    `cmd:"" help:"Write a copy of the document in force in trial that drains a region or an upstream."`
	Show     showCommand     `cmd:"" help:"Print an accepted document."`
	Trace    traceCommand    `cmd:"" help:"Gather the log lines about one request from several logs, in order."`
}

// command is one command of the program.
type command interface {
	run(ctx context.Context, s *session) error
}

// session holds the API client and the printer that commands use.
type session struct {
	client *operator.Client
	out    *printer
}

func (o *options) run(ctx context.Context, name string, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	s := &session{
		client: &operator.Client{Addresses: addressStrings(o.Control), Token: o.Token},
		out:    &printer{w: stdout, json: o.Output == "json"},
	}
	selected, ok := o.commands()[firstWord(name)]
	if !ok {
		return errors.Annotatef(settings.ErrUsage, "command %q", name)
	}
	return selected.run(ctx, s)
}

func (o *options) commands() map[string]command {
	return map[string]command{
		"init": &o.Init, "validate": &o.Validate, "check": &o.Check, "apply": &o.Apply, "promote": &o.Promote,
		"status": &o.Status, "history": &o.History, "diff": &o.Diff, "drain": &o.Drain, "show": &o.Show, "trace": &o.Trace,
	}
}

func firstWord(s string) string {
	for i, r := range s {
		if r == ' ' {
			return s[:i]
		}
	}
	return s
}

func addressStrings(addresses []settings.Address) []string {
	formatted := make([]string, len(addresses))
	for i, a := range addresses {
		formatted[i] = a.String()
	}
	return formatted
}
