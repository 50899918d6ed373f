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
	// address is the bound address, which a reopened socket uses again.
	address netip.AddrPort
	open    atomic.Int64
	serving sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	// held holds the port in ModeRefuse and is nil otherwise.
	held    *heldPort
	stopped bool
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
	s.start(listener)
	return s, nil
}

// Upstream returns the served upstream.
func (s *UpstreamServer) Upstream() *Upstream {
	return s.upstream
}

// InventoryEntry returns the entry for the platform's list.
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
	s.stop()
	err := s.server.Shutdown(ctx)
	s.serving.Wait()
	return errors.Annotate(err, "graceful stop")
}

// Close closes the socket and all connections.
func (s *UpstreamServer) Close() {
	s.stop()
	_ = s.server.Close()
	s.serving.Wait()
}

func (s *UpstreamServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.held != nil {
		s.held.release()
		s.held = nil
	}
}

// setListening opens or closes the socket. Closing it also closes idle
// connections, as a stopping endpoint does.
func (s *UpstreamServer) setListening(open bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped || open == (s.held == nil):
		return nil
	case open:
		return s.reopen()
	default:
		return s.refuse()
	}
}

// refuse closes the socket and holds its port for reopen.
func (s *UpstreamServer) refuse() error {
	s.server.SetKeepAlivesEnabled(false)
	if err := s.listener.Close(); err != nil {
		return errors.Annotate(err, "close socket")
	}
	held, err := holdPort(s.address)
	s.held = held
	return errors.Trace(err)
}

func (s *UpstreamServer) reopen() error {
	listener, err := s.held.listen()
	s.held = nil
	if err != nil {
		return errors.Trace(err)
	}
	s.server.SetKeepAlivesEnabled(true)
	s.start(listener)
	return nil
}

func (s *UpstreamServer) start(listener net.Listener) {
	s.listener = listener
	s.serving.Go(func() { s.serve(listener) })
}

func (s *UpstreamServer) serve(listener net.Listener) {
	limited := &limitListener{
		Listener: listener,
		limit:    int64(s.upstream.config.MaxConnections),
		open:     &s.open,
		refused:  func() { s.upstream.recorder.count(func(t *Totals) { t.RejectedConnections++ }) },
	}
	err := s.server.Serve(limited)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.WithError(err).Error("upstream stopped serving")
	}
}
