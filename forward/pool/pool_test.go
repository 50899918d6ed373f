package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

type connCounter struct{ open, limit atomic.Int64 }

func (c *connCounter) AcquireConn(string) bool {
	if c.open.Add(1) > c.limit.Load() {
		c.open.Add(-1)
		return false
	}
	return true
}
func (c *connCounter) ReleaseConn(string) { c.open.Add(-1) }

type fixture struct {
	*Set
	permits connCounter
	server  *httptest.Server
	opened  atomic.Int64
}

func newFixture(t *testing.T, serve http.HandlerFunc) *fixture {
	f := &fixture{server: httptest.NewUnstartedServer(serve)}
	f.server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.opened.Add(1)
		}
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	f.permits.limit.Store(100)
	f.Set = NewSet(Options{Permits: &f.permits})
	t.Cleanup(f.CloseIdle)
	return f
}

func (f *fixture) send(ctx context.Context, policy ConnPolicy, tracker *ConnTracker, method string) error {
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", "k") // the standard transport retries requests with this header
	resp, err := f.RoundTrip("u", f.server.Listener.Addr().String(), policy, req, tracker)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// waitIdle waits until n connections are idle.
func (f *fixture) waitIdle(n int) {
	p := f.pool(poolKey{"u", f.server.Listener.Addr().String()})
	for idle := -1; idle != n; {
		p.mu.Lock()
		idle = 0
		for c := range p.open {
			if c.uses == 0 {
				idle++
			}
		}
		p.mu.Unlock()
	}
}

// Guards against reusing idle connections that are as old as one that timed out, and
// against closing newer ones.
func TestRetireConnsClosesOlderConnections(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == "PUT" {
			entered <- struct{}{}
			<-release
		}
	})
	uses := make([]ConnTracker, 3)
	var running sync.WaitGroup
	for i := range uses {
		running.Go(func() { _ = f.send(context.Background(), ReuseConn, &uses[i], "PUT") })
		<-entered
	}
	is.Equal(f.opened.Load(), int64(3))
	uses[1].RetireConns() // all three are in use, so none may be closed yet
	is.Equal(f.permits.open.Load(), int64(3))
	close(release)
	running.Wait()
	f.waitIdle(1) // the two retired connections were closed when they became idle
	is.Equal(f.permits.open.Load(), int64(1))
	is.NoErr(f.send(context.Background(), ReuseConn, &ConnTracker{}, "GET")) // on the newest connection
	is.Equal(f.opened.Load(), int64(3))
	f.waitIdle(1)
	var dedicated ConnTracker
	is.NoErr(f.send(context.Background(), DedicatedConn, &dedicated, "GET"))
	dedicated.RetireConns() // idle connections are closed at once
	is.Equal(f.permits.open.Load(), int64(0))
	is.NoErr(f.send(context.Background(), ReuseConn, &ConnTracker{}, "GET"))
	is.Equal(f.opened.Load(), int64(5))
}

// Guards against the transport retrying a request by itself after the upstream read it on
// a reused connection and closed the connection.
func TestDedicatedConnIsNeverRetried(t *testing.T) {
	for _, c := range []struct {
		policy ConnPolicy
		runs   int64
	}{{DedicatedConn, 1}, {ReuseConn, 2}} { // ReuseConn shows that this upstream does provoke a retry
		is := is.New(t)
		var runs atomic.Int64
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				runs.Add(1)
				conn, _, _ := w.(http.Hijacker).Hijack()
				_ = conn.Close()
			}
		})
		is.NoErr(f.send(context.Background(), c.policy, &ConnTracker{}, "GET"))
		if c.policy == ReuseConn {
			f.waitIdle(1)
		}
		var use ConnTracker
		is.True(f.send(context.Background(), c.policy, &use, "POST") != nil)
		is.True(use.Abort())
		is.Equal(runs.Load(), c.runs)
	}
}

// Guards against more connections than the grant allows, and against permits that are not
// released.
func TestPermitsLimitConnections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	f.permits.limit.Store(0)
	var use ConnTracker
	is.True(errors.Is(f.send(context.Background(), DedicatedConn, &use, "GET"), ErrNoPermit))
	is.True(!use.Abort())
	f.permits.limit.Store(1)
	is.NoErr(f.send(context.Background(), ReuseConn, &ConnTracker{}, "GET"))
	f.waitIdle(1)
	is.True(errors.Is(f.send(context.Background(), DedicatedConn, &ConnTracker{}, "GET"), ErrNoPermit)) // idle connections hold permits
	f.CloseUpstream("u")
	is.Equal(f.permits.open.Load(), int64(0))
	f.server.Close()
	is.True(f.send(context.Background(), DedicatedConn, &ConnTracker{}, "GET") != nil)
	is.Equal(f.permits.open.Load(), int64(0))
}

// Guards against a request that is written after it was reported as not sent.
func TestAbortBlocksLateWrites(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	p := newUpstreamPool("u", "", Options{Permits: &connCounter{}})
	c := p.register(client)
	var use ConnTracker
	use.setConn(c, 1)
	is.True(!use.Abort())
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, errWritesBlocked))
	is.True(!c.wasWritten())
}

// Guards against the permit of a dedicated connection staying in use after its request: the next
// request would be rejected although no connection is in use.
func TestDedicatedConnReturnsItsPermitWithTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	f.permits.limit.Store(1)
	for range 200 {
		is.NoErr(f.send(context.Background(), DedicatedConn, &ConnTracker{}, "GET"))
	}
}
