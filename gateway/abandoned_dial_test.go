package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/placement"
)

// listenWithoutAnswer returns an address at which connections are neither established nor refused: the
// listener's queue is full, so that the kernel drops what arrives.
func listenWithoutAnswer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return listener.Addr().String()
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against callers that leave, or whose time ends, while a connection is being opened: a sound
// upstream in another region was ejected for it.
func TestAbandonedConnectionAttemptDoesNotEjectTheUpstream(t *testing.T) {
	for _, c := range []struct {
		name     string
		leave    time.Duration // 0: the caller stays
		deadline time.Duration
		live     int
	}{
		{name: "caller leaves", leave: 30 * time.Millisecond, deadline: 5 * time.Second, live: 1},
		{name: "time ends", deadline: 50 * time.Millisecond, live: 1},
		{name: "no answer", deadline: 5 * time.Second, live: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeUpstreams(t, 1, func(int, http.ResponseWriter, *http.Request) {})
			f.list[0].Address = netip.MustParseAddrPort(listenWithoutAnswer(t))
			r := newTestRequest(t, f, true)
			r.deadline = time.Now().Add(c.deadline)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if c.leave > 0 {
				time.AfterFunc(c.leave, leave)
			}
			response := r.run(ctx)
			is.Equal(response.Abort, c.leave > 0)
			if c.leave == 0 {
				is.Equal(response.Status, http.StatusServiceUnavailable) // not run
			}
			r.service.permits.withTable(func(_ time.Time, table *placement.Table) {
				is.Equal(table.LiveUpstreams(), c.live)
				is.Equal(table.RunningRequests(), 0)
			})
		})
	}
}
