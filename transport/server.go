package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// Server serves drpc calls on one listener, with one handler per role of the peer.
type Server struct {
	security *Security
	handlers map[Role]drpc.Handler
	log      logrus.FieldLogger
	slots    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. In plaintext mode the handler of RoleControl serves all
// peers, so it must provide all services.
func NewServer(security *Security, handlers map[Role]drpc.Handler, log logrus.FieldLogger) *Server {
	return &Server{
		security: security,
		handlers: handlers,
		log:      log,
		slots:    make(chan struct{}, MaxConnections),
		conns:    map[net.Conn]struct{}{},
	}
}

// Serve accepts connections until the context ends. It then closes all connections
// and waits for the calls in progress to return.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if err := s.security.checkAddress(listener.Addr().String()); err != nil {
		return errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	defer stop()
	defer s.wg.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Annotate(err, "accept")
		}
		s.startConn(ctx, conn)
	}
}

func (s *Server) startConn(ctx context.Context, conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.log.WithField("peer", conn.RemoteAddr().String()).Warn("connection rejected: connection limit reached")
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.finishConn(conn)
		if err := s.serveConn(ctx, conn); err != nil && ctx.Err() == nil && !isExpectedClose(err) {
			s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Info("connection failed")
		}
	})
	if ctx.Err() != nil {
		_ = conn.Close()
	}
}

func (s *Server) finishConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	<-s.slots
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) error {
	conn, err := s.security.serverConn(raw)
	if err != nil {
		return errors.Trace(err)
	}
	role, err := handshake(ctx, conn)
	if err != nil {
		return errors.Annotate(err, "handshake")
	}
	handler, ok := s.handlers[role]
	if !ok {
		return errors.Annotatef(ErrUnknownRole, "role %q", role)
	}
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	return server.ServeOne(ctx, &deadlineConn{Conn: conn, readTimeout: IdleTimeout})
}

// handshake completes the TLS handshake and returns the peer's role. A peer in plaintext
// has RoleControl.
func handshake(ctx context.Context, conn net.Conn) (Role, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return RoleControl, nil
	}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return "", err
	}
	return roleOf(tlsConn.ConnectionState())
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: 64 << 10},
		// Without soft cancel a cancelled call closes its connection, which must not be
		// reused after a timeout.
		SoftCancel: false,
	}
}

// isExpectedClose reports whether the error is a regular end of a connection: closed by
// either side, cancelled, or timed out.
func isExpectedClose(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) ||
		(errors.As(err, &netErr) && netErr.Timeout())
}
