package ingress

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/gateway/link"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Server accepts callers' connections and serves their requests.
type Server struct {
	handler Handler
	log     logrus.FieldLogger
	limits  atomic.Pointer[Limits]
	// buffers bounds the memory of buffered request bodies.
	buffers *memlimit.Budget
	// pacer gives long responses their turns on a slow link; nil on others.
	pacer *link.Pacer
	// onCut is called for responses that are cut while they are sent; may be nil.
	onCut func(Cut)

	mu       sync.Mutex
	listener net.Listener
	// accepting is closed when the listener no longer accepts connections.
	accepting chan struct{}
	conns     map[*conn]struct{}
	// closing makes every connection close after its outstanding responses.
	closing atomic.Bool
	// draining is set once no connection is accepted any more, nor a request behind one that runs.
	draining atomic.Bool
	wg       sync.WaitGroup
}

// NewServer returns a server that passes requests to the handler. Their bodies are buffered as far as the
// budget allows. Long responses take turns as the scheduler says; without one, when it is nil, they do not.
func NewServer(handler Handler, buffers *memlimit.Budget, scheduler *link.Scheduler, log logrus.FieldLogger) *Server {
	s := &Server{
		handler: handler, log: log, buffers: buffers, pacer: link.NewPacer(scheduler), conns: map[*conn]struct{}{},
		accepting: make(chan struct{}),
	}
	limits := DefaultLimits
	s.limits.Store(&limits)
	return s
}

// SetLimits sets the limits for requests that are read from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	defer close(s.accepting)
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // set by StopAccepting
			return errors.Trace(listener.Close())
		}
		if err != nil {
			// Running out of file descriptors is temporary, so the server keeps accepting.
			s.log.WithError(err).Warn("failed to accept connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.start(nc)
	}
}

// acceptRetryDelay is the delay after a failed accept.
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

// StopAccepting closes the listener once the connections that the kernel has accepted are taken over:
// closing it at once would reset them, with the requests that were sent on them. It returns when no
// further connection is accepted. Open connections stay open until their requests are answered; requests
// that arrive behind those are left unread, for the caller to send elsewhere.
func (s *Server) StopAccepting() {
	defer s.draining.Store(true)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	deadline, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadline.SetDeadline(time.Now().Add(backlogTime)) != nil {
		_ = listener.Close()
	}
	<-s.accepting
}

// backlogTime is how long a stopping server still accepts the connections that wait in the kernel.
const backlogTime = 100 * time.Millisecond

// CloseAfterResponses makes every connection close after its outstanding responses. Long ones no longer wait for
// turns.
func (s *Server) CloseAfterResponses() {
	s.closing.Store(true)
	s.pacer.Stop()
}

// Backlog returns how long a slow link takes to send the responses that were written.
func (s *Server) Backlog() time.Duration { return s.pacer.Backlog() }

// LongResponses returns counts of the long responses that take turns.
func (s *Server) LongResponses() link.Stats { return s.pacer.Stats() }

// CloseIdle closes connections on which no request is being read or pending.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// BusyConns returns the number of connections with pending requests, and of those whose first request
// may not have been read yet.
func (s *Server) BusyConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if pending, _ := c.state(); pending > 0 || c.isNew() {
			n++
		}
	}
	return n
}

// Wait waits until all connections have ended, or until the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
