package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// ErrClosed reports a call on a closed client.
const ErrClosed = errors.ConstError("client is closed")

// Client calls one peer over a small pool of connections. A drpc connection
// carries one call at a time, so concurrent calls use several connections. Client
// implements drpc.Conn and is safe for concurrent use.
type Client struct {
	address  string
	security *Security
	dialer   net.Dialer

	mu     sync.Mutex
	idle   []*drpcconn.Conn
	closed chan struct{}
	// generation is incremented when a call times out. Connections of an older
	// generation are not reused.
	generation  uint64
	generations map[*drpcconn.Conn]uint64
}

// NewClient returns a client of the peer at the address. It connects at the first call.
func NewClient(address string, security *Security) (*Client, error) {
	if err := security.checkAddress(address); err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{
		address:     address,
		security:    security,
		dialer:      net.Dialer{Timeout: ConnectTimeout},
		closed:      make(chan struct{}),
		generations: map[*drpcconn.Conn]uint64{},
	}, nil
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Closed returns a channel that is closed when the client is closed.
func (c *Client) Closed() <-chan struct{} { return c.closed }

// Close closes all idle connections. Calls in progress end with their context.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return nil
	default:
	}
	close(c.closed)
	c.closeIdle()
	return nil
}

// Invoke makes one call. CallTimeout applies if the context has no deadline.
func (c *Client) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	conn, err := c.acquire(ctx)
	if err != nil {
		return errors.Annotatef(err, "connect to %s", c.address)
	}
	err = conn.Invoke(ctx, rpc, enc, in, out)
	c.release(conn, ctx.Err() != nil)
	if err != nil {
		return errors.Annotatef(err, "call %s at %s", rpc, c.address)
	}
	return nil
}

// NewStream is not supported: all services of the system use unary calls, whose
// timeouts detect an unresponsive peer.
func (c *Client) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.NotSupportedf("streams")
}

func (c *Client) acquire(ctx context.Context) (*drpcconn.Conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if isOpen(conn) {
			c.mu.Unlock()
			return conn, nil
		}
		c.discard(conn)
	}
	generation := c.generation
	c.mu.Unlock()
	select {
	case <-c.closed:
		return nil, errors.Trace(ErrClosed)
	default:
	}
	return c.dial(ctx, generation)
}

func (c *Client) dial(ctx context.Context, generation uint64) (*drpcconn.Conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := c.security.clientConn(raw, c.address)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	if err := verifyControlRole(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	// The read timeout is shorter than the server's, so the client closes an idle connection first.
	transport := &deadlineConn{Conn: conn, readTimeout: IdleTimeout - 5*time.Second}
	dialled := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
	c.mu.Lock()
	c.generations[dialled] = generation
	c.mu.Unlock()
	return dialled, nil
}

// release keeps a usable connection for later calls. After a timeout it closes this
// connection and all idle ones: a network fault that silently broke one connection
// to the peer may have broken all of them.
func (c *Client) release(conn *drpcconn.Conn, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timedOut {
		c.generation++
		c.closeIdle()
	}
	select {
	case <-c.closed:
		c.discard(conn)
		return
	default:
	}
	if !isOpen(conn) || c.generations[conn] != c.generation || len(c.idle) >= MaxIdlePerPeer {
		c.discard(conn)
		return
	}
	c.idle = append(c.idle, conn)
}

func (c *Client) closeIdle() {
	for _, conn := range c.idle {
		c.discard(conn)
	}
	c.idle = nil
}

// discard closes a connection in the background, because sending the TLS closing
// alert blocks if the peer does not read.
func (c *Client) discard(conn *drpcconn.Conn) {
	delete(c.generations, conn)
	go func() { _ = conn.Close() }()
}

// verifyControlRole checks that the peer is a control daemon. Only control daemons
// run servers.
func verifyControlRole(ctx context.Context, conn net.Conn) error {
	role, err := handshake(ctx, conn)
	if err != nil {
		return errors.Annotate(err, "handshake")
	}
	if role != RoleControl {
		return errors.Annotatef(ErrUnknownRole, "the peer has role %q, expected %q", role, RoleControl)
	}
	return nil
}

func isOpen(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}
