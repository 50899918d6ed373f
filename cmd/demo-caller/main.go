// Command demo-caller generates a bounded load in the role of callers and prints a
// JSON summary. Its exit code is 1 if there were wrong responses.
package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/caller"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/settings"
)

type flags struct {
	Entry           []settings.Address `required:"" help:"Entry VMs to ask first."`
	Service         settings.Name      `default:"records" help:"Service that is looked up."`
	Method          string             `default:"GET" enum:"GET,POST,PUT,DELETE" help:"Method of the requests."`
	Path            string             `default:"/records" help:"Prefix of the route."`
	Idempotent      bool               `default:"true" negatable:"" help:"The route is idempotent."`
	IdempotencyKeys bool               `help:"Send an Idempotency-Key with each request."`
	Customers       string             `required:"" help:"JSON file: array of name, key and rate (requests a second)."`
	Duration        time.Duration      `default:"10s" min:"1ms" max:"24h" help:"Time for which requests are sent."`
	Requests        int                `default:"0" min:"0" max:"100000000" help:"Requests of each customer; 0 is no limit."`
	Timeout         time.Duration      `default:"5s" min:"1ms" max:"10m" help:"Time that one request may take."`
	MaxInFlight     int                `default:"200" min:"1" max:"10000" help:"Requests at one time."`
	AnswerBytes     int                `default:"0" min:"0" max:"67108864" help:"Size of the answers, at least 1024; 0 leaves it to the upstream."`
	BodyBytes       int                `default:"0" min:"0" max:"67108864" help:"Size of the bodies that are sent."`
}

func main() {
	var f flags
	program := settings.Program{Name: "demo-caller", Description: "Sends requests as callers do."}
	os.Exit(program.Run(&f, os.Args[1:], f.run))
}

func (f *flags) run(ctx context.Context) error {
	customers, err := caller.LoadCustomers(f.Customers)
	if err != nil {
		return settings.InvalidFile("--customers", "PM_CUSTOMERS", f.Customers, "a JSON array of name, key and rate", err)
	}
	entries := make([]netip.AddrPort, len(f.Entry))
	for i, entry := range f.Entry {
		entries[i] = entry.AddrPort
	}
	summary, err := caller.Run(ctx, caller.Config{
		EntryVMs: entries, Service: string(f.Service), Method: f.Method, Path: f.Path,
		Idempotent: f.Idempotent, IdempotencyKeys: f.IdempotencyKeys, Customers: customers,
		Duration: f.Duration, Requests: f.Requests, Timeout: f.Timeout, MaxInFlight: f.MaxInFlight,
		AnswerBytes: f.AnswerBytes, BodyBytes: f.BodyBytes, Clock: clock.NewSystem(),
	})
	if err != nil && !errors.Is(err, caller.ErrMismatchedResponses) {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if encodeErr := encoder.Encode(summary); encodeErr != nil {
		return encodeErr
	}
	return err
}
