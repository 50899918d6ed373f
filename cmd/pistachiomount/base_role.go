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

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/platform"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

const (
	// rpcPortIndex is the index, among the internal ports, of the port for RPCs between daemons.
	rpcPortIndex = 0
	// httpPortIndex is the index of the internal port for metrics and the internal HTTP API. The
	// flag for the metrics port overrides it.
	httpPortIndex = 1
	// memoryLimitRatio is the ratio of the Go memory limit to the memory of the process. The rest
	// is for memory that the Go runtime does not count.
	memoryLimitRatio = 0.6
	// gcPercent is above the default of 100: it trades memory, which is plentiful, for CPU time.
	gcPercent = 300
	// readHeaderTimeout bounds reading the headers of a request to an HTTP server of the daemons.
	readHeaderTimeout = 5 * time.Second
)

// baseRole holds the flags and the log writer that both roles share.
type baseRole struct {
	telemetry.Settings `embed:""`

	MetricsPort uint16 `help:"Port for metrics and the product's own interface; 0 takes the second of the ports for own traffic." default:"0" env:"PM_METRICS_PORT"`

	logWriter *telemetry.AsyncWriter
	hangups   <-chan os.Signal
}

// stop shuts telemetry down and writes the queued log lines.
func (r *baseRole) stop(ctx context.Context, tel *telemetry.Telemetry) {
	if err := tel.Shutdown(context.WithoutCancel(ctx)); err != nil {
		tel.Logger.WithError(err).Warn("failed to flush telemetry")
	}
	tel.Logger.WithField("log_lines_dropped", r.logWriter.Dropped()).Info("process stopped")
	r.logWriter.Close()
}

// internalHTTPAddress returns the address at which the process serves metrics and the internal HTTP API.
func (r *baseRole) internalHTTPAddress(s *platform.Settings) string {
	if r.MetricsPort != 0 {
		return netip.AddrPortFrom(s.Address, r.MetricsPort).String()
	}
	return s.InternalAddress(s.Address, httpPortIndex)
}

// metricsHandler returns a handler for the metrics endpoint.
func metricsHandler(tel *telemetry.Telemetry) http.Handler {
	mux := flow.New()
	mux.Handle("/metrics", tel.MetricsHandler(), http.MethodGet)
	return mux
}

// start reads the settings file, sets the memory limits of the Go runtime and starts telemetry. From its call on,
// SIGHUP does not terminate the process.
func (r *baseRole) start(service string) (*platform.Settings, *telemetry.Telemetry, error) {
	r.hangups = notifyHangups()
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

// trustedNetworkSecurity configures plaintext between daemons: the platform provides no keys, and
// only its own VMs can reach the network.
func trustedNetworkSecurity(log logrus.FieldLogger) *transport.Security {
	log.Warn("traffic between daemons is not encrypted: the network is trusted")
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

// serveHTTP serves handler on listener in the background until the returned server is closed.
func serveHTTP(listener net.Listener, handler http.Handler, log logrus.FieldLogger) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headlimit.MaxBytes, ErrorLog: telemetry.ServerLog(log),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("HTTP server failed")
		}
	}()
	return server
}

// peerAddresses returns the RPC addresses of the control daemons that the seeds list.
func peerAddresses(s *platform.Settings) []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(seed.Addr(), rpcPortIndex))
	}
	return addresses
}

// lowestAddress returns the lowest IP address of the seeds, or an invalid one without seeds.
func lowestAddress(seeds []netip.AddrPort) netip.Addr {
	var lowest netip.Addr
	for _, seed := range seeds {
		if !lowest.IsValid() || seed.Addr().Less(lowest) {
			lowest = seed.Addr()
		}
	}
	return lowest
}
