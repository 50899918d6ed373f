package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

type controlService struct {
	apipb.DRPCControlUnimplementedServer
	calls atomic.Int64
	// arrivals blocks calls until all of them have arrived, so that each uses its own
	// connection.
	arrivals  sync.WaitGroup
	holdCalls atomic.Bool
}

func (s *controlService) Watch(context.Context, *apipb.WatchRequest) (*apipb.WatchReply, error) {
	if s.calls.Add(1) <= 3 && s.holdCalls.Load() {
		s.arrivals.Done()
		s.arrivals.Wait()
	}
	return &apipb.WatchReply{Revision: 7}, nil
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// serve starts a server that provides its service to peers of the given role only.
func serve(t *testing.T, security *transport.Security, role transport.Role) (string, *controlService) {
	t.Helper()
	s := &controlService{}
	mux := drpcmux.New()
	if err := apipb.DRPCRegisterControl(mux, s); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.NewServer(security, map[transport.Role]drpc.Handler{role: mux}, discardLogger()).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String(), s
}

func watch(t *testing.T, address string, security *transport.Security) error {
	t.Helper()
	client, err := transport.NewClient(address, security)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	_, err = apipb.NewDRPCControlClient(client).Watch(context.Background(), &apipb.WatchRequest{})
	return err
}

// Guards against serving a peer with an unknown role or without a valid certificate.
func TestServerChecksRole(t *testing.T) {
	is := is.New(t)
	a := newTestCA(t)
	address, s := serve(t, a.security("control"), transport.RoleEntry)
	is.NoErr(watch(t, address, a.security("entry")))
	is.True(watch(t, address, a.security("operator")) != nil)              // unknown role
	is.True(watch(t, address, a.security("control")) != nil)               // no handler for this role
	is.True(watch(t, address, newTestCA(t).security("entry")) != nil)      // signed by another CA
	is.True(watch(t, address, &transport.Security{Insecure: true}) != nil) // plaintext
	is.Equal(s.calls.Load(), int64(1))
}

// Guards against an entry daemon that impersonates a control daemon.
func TestClientRejectsNonControlServer(t *testing.T) {
	is := is.New(t)
	a := newTestCA(t)
	address, s := serve(t, a.security("entry"), transport.RoleEntry)
	is.True(watch(t, address, a.security("entry")) != nil)
	is.Equal(s.calls.Load(), int64(0))
}

// Guards against plaintext on addresses other than loopback.
func TestPlaintextOnlyOnLoopback(t *testing.T) {
	is := is.New(t)
	_, err := transport.NewClient("192.0.2.1:1", &transport.Security{Insecure: true})
	is.True(errors.Is(err, transport.ErrNotLoopback))
	is.True((&transport.Security{}).Validate() != nil)
}

// blackholeProxy forwards connections. Once blackholed is set, it drops all data on the
// connections that are open, and forwards new ones.
type blackholeProxy struct {
	target     string
	blackholed atomic.Bool
	opened     atomic.Int64
}

func (p *blackholeProxy) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		blackholedAtOpen := p.blackholed.Load()
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		go p.copy(upstream, conn, blackholedAtOpen)
		go p.copy(conn, upstream, blackholedAtOpen)
	}
}

// copy forwards data until blackholed differs from its value when the connection was
// opened, and drops data from then on.
func (p *blackholeProxy) copy(to, from net.Conn, blackholedAtOpen bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.blackholed.Load() != blackholedAtOpen {
			continue
		}
		_, _ = to.Write(buffer[:n])
	}
}

// Guards against the reuse of idle connections after a call on another one timed out:
// a network fault may drop the data of all old connections while new ones work.
func TestTimeoutReplacesIdleConnections(t *testing.T) {
	is := is.New(t)
	security := &transport.Security{Insecure: true}
	address, s := serve(t, security, transport.RoleControl)
	proxy := &blackholeProxy{target: address}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go proxy.run(listener)

	client, err := transport.NewClient(listener.Addr().String(), security)
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := apipb.NewDRPCControlClient(client).Watch(ctx, &apipb.WatchRequest{})
		return err
	}
	s.arrivals.Add(3)
	s.holdCalls.Store(true)
	results := make(chan error, 3)
	for range 3 {
		go func() { results <- call(transport.CallTimeout) }()
	}
	for range 3 {
		is.NoErr(<-results)
	}
	proxy.blackholed.Store(true)
	is.True(call(50*time.Millisecond) != nil) // uses a blackholed connection
	is.NoErr(call(transport.CallTimeout))     // uses a new connection, not another idle one
	is.Equal(s.calls.Load(), int64(4))
}
