package main

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/platform"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

const (
	// rpcPort is which of the ports for own traffic takes calls between daemons.
	rpcPort = 0
	// ownPort is which of them serves metrics and the product's own interface, unless
	// the command line names another port.
	ownPort = 1
	// memoryShare is the part of a process's memory from which the collector works
	// harder; the rest is for what it does not count.
	memoryShare = 0.6
	// collectorPercent trades memory, of which there is plenty, for processor time.
	collectorPercent = 300
	// httpHeaderTimeout bounds reading the head of a call to the daemons' own interfaces.
	httpHeaderTimeout = 5 * time.Second
)

// role is what both roles have in common.
type role struct {
	telemetry.Settings `embed:""`

	MetricsPort uint16 `help:"Port for metrics and the product's own interface; 0 takes the second of the ports for own traffic." default:"0" env:"PM_METRICS_PORT"`

	lines *telemetry.AsyncWriter
}

// stop ends the telemetry of the process and writes the lines that are queued.
func (r *role) stop(ctx context.Context, observed *telemetry.Telemetry) {
	if err := observed.Shutdown(context.WithoutCancel(ctx)); err != nil {
		observed.Logger.WithError(err).Warn("telemetry not flushed")
	}
	observed.Logger.WithField("log_lines_dropped", r.lines.Dropped()).Info("process ends")
	r.lines.Close()
}

// ownAddress is where the process serves metrics and the product's own interface.
func (r *role) ownAddress(s *platform.Settings) string {
	if r.MetricsPort != 0 {
		return netip.AddrPortFrom(s.Address, r.MetricsPort).String()
	}
	return s.InternalAddress(s.Address, ownPort)
}

// metricsHandler serves the metrics of the process as text.
func metricsHandler(observed *telemetry.Telemetry) http.Handler {
	mux := flow.New()
	mux.Handle("/metrics", observed.MetricsHandler(), http.MethodGet)
	return mux
}

// start reads the settings file and makes the telemetry of the process.
func (r *role) start(service string) (*platform.Settings, *telemetry.Telemetry, error) {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(math.Round(float64(s.MemoryMB) * memoryShare * (1 << 20))))
		debug.SetGCPercent(collectorPercent)
	}
	r.lines = telemetry.NewAsyncWriter(os.Stdout)
	observed, err := telemetry.New(r.Settings, telemetry.Identity{Service: service, VM: s.VM}, telemetry.Outputs{Logs: r.lines})
	return s, observed, errors.Trace(err)
}

// trusted is the security between daemons: the platform hands out no keys, and
// only its own VMs reach the network.
func trusted(log logrus.FieldLogger) *transport.Security {
	log.Warn("plaintext between daemons: the network counts as trusted")
	return &transport.Security{TrustedNetwork: true}
}

func listen(ctx context.Context, address, name string, log logrus.FieldLogger) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listener %s", name)
	}
	log.WithFields(logrus.Fields{"listener": name, "address": address}).Info("listening")
	return listener, nil
}

// serveHTTP serves one of the daemons' interfaces until the process ends.
func serveHTTP(listener net.Listener, handler http.Handler, log logrus.FieldLogger) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, ErrorLog: telemetry.ServerLog(log)}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("interface stopped")
		}
	}()
	return server
}

// peers returns where the control daemons of the seeds take calls.
func peers(s *platform.Settings) []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(seed.Addr(), rpcPort))
	}
	return addresses
}

// first returns the lowest address of the seeds.
func first(seeds []netip.AddrPort) netip.Addr {
	var lowest netip.Addr
	for _, seed := range seeds {
		if !lowest.IsValid() || seed.Addr().Less(lowest) {
			lowest = seed.Addr()
		}
	}
	return lowest
}
