package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that does not read and keeps its connection beyond the deadline of its request, because the
// next write took the deadline of the abort away.
func TestAbortedWritesStayAborted(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCaller(w, r, time.Minute)
		ctx, cancel := context.WithCancel(context.Background())
		c.abortWritesOn(ctx)
		cancel()
		time.Sleep(20 * time.Millisecond) // the abort has run
		failed <- c.write(make([]byte, 64<<20))
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	select {
	case err := <-failed:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		is.Fail() // the write blocks
		_ = conn.Close()
	}
}
