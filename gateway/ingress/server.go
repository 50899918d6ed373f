package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Server accepts callers' connections.
type Server struct {
	handler Handler
	log     logrus.FieldLogger
	limits  atomic.Pointer[Limits]

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// closing asks every connection to end after the answers that are due.
	closing atomic.Bool
	wg      sync.WaitGroup
}

// NewServer returns a server of the handler.
func NewServer(handler Handler, log logrus.FieldLogger) *Server {
	s := &Server{handler: handler, log: log, conns: map[*conn]struct{}{}}
	limits := DefaultLimits
	s.limits.Store(&limits)
	return s
}

// SetLimits changes the limits for requests that are read from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Running out of descriptors passes; ending the process would not help.
			s.log.WithError(err).Warn("connection not accepted")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.start(nc)
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// StopAccepting closes the listener. Open connections go on.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// CloseAfterAnswers lets every connection end after its next answer.
func (s *Server) CloseAfterAnswers() { s.closing.Store(true) }

// CloseIdle ends connections on which no request is being read or answered.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// BusyConns returns how many connections have a request that is not answered.
func (s *Server) BusyConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if pending, _ := c.state(); pending > 0 {
			n++
		}
	}
	return n
}

// Wait waits for all connections to end, or for the context.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
