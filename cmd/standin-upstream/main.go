// Command standin-upstream serves stand-in upstreams for the demo and for
// tests: those listed in a JSON file, or a number of identical ones described by flags.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/alexedwards/flow"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
	"pistachiomount.example/pistachiomount/telemetry"
)

// shutdownTimeout bounds the wait for running requests at shutdown.
const shutdownTimeout = 30 * time.Second

func main() {
	var f flags
	program := settings.Program{Name: "standin-upstream", Description: "Stand-in upstreams."}
	os.Exit(program.Run(&f, os.Args[1:], f.run))
}

func (f *flags) run(ctx context.Context) error {
	tel, err := telemetry.New(f.Settings, telemetry.Identity{Service: "standin-upstream", VM: string(f.VM)}, telemetry.Outputs{})
	if err != nil {
		return err
	}
	defer func() { _ = tel.Shutdown(context.WithoutCancel(ctx)) }()
	config, err := f.fleetConfig()
	if err != nil {
		return err
	}
	fleet, err := standin.StartFleet(config, tel.Logger)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := f.serveControl(ctx, fleet, tel); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return fleet.Shutdown(stopping)
}

// serveControl registers the upstreams and serves control requests until the
// context ends.
func (f *flags) serveControl(ctx context.Context, fleet *standin.Fleet, tel *telemetry.Telemetry) error {
	listener, err := settings.Listen(f.Control, "control", tel.Logger)
	if err != nil {
		return err
	}
	ready := settings.NewReady()
	ready.AddListener("control", listener.Addr())
	for _, entry := range fleet.InventoryEntries() {
		ready.AddListener("upstream "+entry.ID, entry.Address)
	}
	if f.Platform.IsValid() {
		if err := standin.RegisterUpstreams(ctx, f.Platform, fleet.InventoryEntries()); err != nil {
			_ = listener.Close()
			return err
		}
	}
	ready.SetState("serving", true)
	tel.Logger.WithFields(logrus.Fields{"upstreams": len(fleet.InventoryEntries())}).Info("serving")
	mux := flow.New()
	mux.Handle("/ready", ready, http.MethodGet)
	mux.Handle("/metrics", tel.MetricsHandler(), http.MethodGet)
	mux.Handle("/...", fleet)
	return standin.Serve(ctx, listener, mux, tel.Logger)
}
