package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/telemetry"
)

// UpstreamServer serves an Upstream on a TCP address.
type UpstreamServer struct {
	upstream *Upstream
	logger   logrus.FieldLogger
	server   *http.Server
	// address is the bound address, which is used again after ModeRefuse.
	address    netip.AddrPort
	openConns  atomic.Int64
	serveLoops sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	// reserved keeps the port bound in ModeRefuse and is nil otherwise.
	reserved *reservedPort
	stopped  bool
}

// StartUpstream listens on the address and serves the upstream until Shutdown or Close.
func StartUpstream(upstream *Upstream, address settings.Address, logger logrus.FieldLogger) (*UpstreamServer, error) {
	s := &UpstreamServer{upstream: upstream, logger: logger}
	s.server = &http.Server{
		Handler: upstream, ConnContext: upstream.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.ServerLog(logger),
	}
	listener, err := settings.Listen(address, "upstream "+upstream.ID(), logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	upstream.setListening = s.setListening
	s.startServing(listener)
	return s, nil
}

// Upstream returns the served upstream.
func (s *UpstreamServer) Upstream() *Upstream {
	return s.upstream
}

// InventoryEntry returns the upstream's entry for the platform's list.
func (s *UpstreamServer) InventoryEntry() inventory.Upstream {
	c := s.upstream.config
	return inventory.Upstream{
		ID: c.ID, Service: c.Service, Address: s.Address(),
		Region: c.Region, FailureDomain: c.FailureDomain, State: inventory.Live,
	}
}

// Address returns the bound address.
func (s *UpstreamServer) Address() netip.AddrPort {
	return s.address
}

// Shutdown stops listening and waits for running requests.
func (s *UpstreamServer) Shutdown(ctx context.Context) error {
	s.markStopped()
	err := s.server.Shutdown(ctx)
	s.serveLoops.Wait()
	return errors.Annotate(err, "graceful stop")
}

// Close closes the socket and all connections.
func (s *UpstreamServer) Close() {
	s.markStopped()
	_ = s.server.Close()
	s.serveLoops.Wait()
}

func (s *UpstreamServer) markStopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.reserved != nil {
		s.reserved.release()
		s.reserved = nil
	}
}

// setListening opens or closes the socket. Closing it also closes idle
// connections, as an endpoint does when it stops.
func (s *UpstreamServer) setListening(open bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped || open == (s.reserved == nil):
		return nil
	case open:
		return s.resumeListening()
	default:
		return s.stopListening()
	}
}

// stopListening closes the listening socket and reserves its port for resumeListening.
func (s *UpstreamServer) stopListening() error {
	s.server.SetKeepAlivesEnabled(false)
	if err := s.listener.Close(); err != nil {
		return errors.Annotate(err, "close socket")
	}
	reserved, err := reservePort(s.address)
	s.reserved = reserved
	return errors.Trace(err)
}

func (s *UpstreamServer) resumeListening() error {
	listener, err := s.reserved.listen()
	s.reserved = nil
	if err != nil {
		return errors.Trace(err)
	}
	s.server.SetKeepAlivesEnabled(true)
	s.startServing(listener)
	return nil
}

func (s *UpstreamServer) startServing(listener net.Listener) {
	s.listener = listener
	s.serveLoops.Go(func() { s.serveListener(listener) })
}

func (s *UpstreamServer) serveListener(listener net.Listener) {
	limited := &limitListener{
		Listener:  listener,
		maxConns:  int64(s.upstream.config.MaxConnections),
		openConns: &s.openConns,
		onReject:  func() { s.upstream.recorder.updateTotals(func(t *Totals) { t.RejectedConnections++ }) },
	}
	err := s.server.Serve(limited)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.WithError(err).Error("upstream server failed")
	}
}
