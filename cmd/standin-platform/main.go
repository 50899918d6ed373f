// Command standin-platform serves the platform's lists of VMs and upstreams
// for the demo and for tests.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/alexedwards/flow"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
	"pistachiomount.example/pistachiomount/telemetry"
)

type flags struct {
	telemetry.Settings `embed:""`
	VM                 settings.Name    `default:"platform" help:"Name of this process in logs."`
	Listen             settings.Address `default:"127.0.0.1:0" help:"Address to listen on."`
	Lists              string           `help:"JSON file with the lists to start with."`
	Lag                time.Duration    `default:"0s" min:"0s" max:"10m" help:"Time until a change becomes visible."`
}

func main() {
	var f flags
	program := settings.Program{Name: "standin-platform", Description: "Stand-in of the platform."}
	os.Exit(program.Run(&f, os.Args[1:], f.run))
}

func (f *flags) run(ctx context.Context) error {
	tel, err := telemetry.New(f.Settings, telemetry.Identity{Service: "standin-platform", VM: string(f.VM)}, telemetry.Outputs{})
	if err != nil {
		return err
	}
	defer func() { _ = tel.Shutdown(context.WithoutCancel(ctx)) }()
	var lists standin.Lists
	if f.Lists != "" {
		if lists, err = standin.LoadLists(f.Lists); err != nil {
			return settings.InvalidFile("--lists", "PM_LISTS", f.Lists, "a JSON file with vms and upstreams", err)
		}
	}
	platform, err := standin.NewPlatform(clock.NewSystem(), lists, standin.PlatformOptions{LagMS: f.Lag.Milliseconds()})
	if err != nil {
		return err
	}
	listener, err := settings.Listen(f.Listen, "http", tel.Logger)
	if err != nil {
		return err
	}
	ready := settings.NewReady()
	ready.AddListener("http", listener.Addr())
	ready.SetState("serving", true)
	mux := flow.New()
	mux.Handle("/ready", ready, http.MethodGet)
	mux.Handle("/metrics", tel.MetricsHandler(), http.MethodGet)
	mux.Handle("/...", platform)
	return standin.Serve(ctx, listener, mux, tel.Logger)
}
