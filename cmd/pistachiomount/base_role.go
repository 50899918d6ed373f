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
	// rpcPortIndex is which of the ports for own traffic takes calls between daemons.
	rpcPortIndex = 0
	// httpPortIndex is which of them serves metrics and the product's own interface, unless
	// the command line names another port.
	httpPortIndex = 1
	// memoryLimitRatio is the part of a process's memory from which the collector works
	// harder; the rest is for what it does not count.
	memoryLimitRatio = 0.6
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 300
	// readHeaderTimeout bounds reading the head of a call to the daemons' own interfaces.
	readHeaderTimeout = 5 * time.Second
)

// baseRole is what both roles have in common.
type baseRole struct {
	telemetry.Settings `embed:""`

	MetricsPort uint16 `help:"Port for metrics and the product's own interface; 0 takes the second of the ports for own traffic." default:"0" env:"PM_METRICS_PORT"`

	logWriter *telemetry.AsyncWriter
}

// stop ends the telemetry of the process and writes the lines that are queued.
func (r *baseRole) stop(ctx context.Context, tel *telemetry.Telemetry) {
	if err := tel.Shutdown(context.WithoutCancel(ctx)); err != nil {
		tel.Logger.WithError(err).Warn("telemetry not flushed")
	}
	tel.Logger.WithField("log_lines_dropped", r.logWriter.Dropped()).Info("process ends")
	r.logWriter.Close()
}

// internalHTTPAddress is where the process serves metrics and the product's own interface.
func (r *baseRole) internalHTTPAddress(s *platform.Settings) string {
	if r.MetricsPort != 0 {
		return netip.AddrPortFrom(s.Address, r.MetricsPort).String()
	}
	return s.InternalAddress(s.Address, httpPortIndex)
}

// metricsHandler serves the metrics of the process as text.
func metricsHandler(tel *telemetry.Telemetry) http.Handler {
	mux := flow.New()
	mux.Handle("/metrics", tel.MetricsHandler(), http.MethodGet)
	return mux
}

// start reads the settings file and makes the telemetry of the process.
func (r *baseRole) start(service string) (*platform.Settings, *telemetry.Telemetry, error) {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(math.Round(float64(s.MemoryMB) * memoryLimitRatio * (1 << 20))))
		debug.SetGCPercent(gcPercent)
	}
	r.logWriter = telemetry.NewAsyncWriter(os.Stdout)
	tel, err := telemetry.New(r.Settings, telemetry.Identity{Service: service, VM: s.VM}, telemetry.Outputs{Logs: r.logWriter})
	return s, tel, errors.Trace(err)
}

// trustedNetworkSecurity is the security between daemons: the platform hands out no keys, and
// only its own VMs reach the network.
func trustedNetworkSecurity(log logrus.FieldLogger) *transport.Security {
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
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.ServerLog(log)}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("interface stopped")
		}
	}()
	return server
}

// peerAddresses returns where the control daemons of the seeds take calls.
func peerAddresses(s *platform.Settings) []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(seed.Addr(), rpcPortIndex))
	}
	return addresses
}

// lowestAddress returns the lowest address of the seeds.
func lowestAddress(seeds []netip.AddrPort) netip.Addr {
	var lowest netip.Addr
	for _, seed := range seeds {
		if !lowest.IsValid() || seed.Addr().Less(lowest) {
			lowest = seed.Addr()
		}
	}
	return lowest
}
