package egress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/memlimit"
)

var names = egress.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Customer: "X-Customer", ExpectedUpstream: "X-Expected", NotRun: "X-Not-Run",
	Signature: "X-Signature", Load: "X-Load", UpstreamID: "X-Instance", Cold: "X-Cold", Announced: announce.HeaderNames{RateLimit: "X-Limit", Leaving: "X-Leaving"}, Stripped: []string{"X-Key"},
}

// scriptedUpstream is an upstream that answers its n-th request with the n-th script. A script gets
// the ID of the request and the connection.
type scriptedUpstream struct {
	address  string
	requests atomic.Int32
	conns    atomic.Int32
}

type script func(id string, conn net.Conn)

func serveScripts(t *testing.T, scripts ...script) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedUpstream{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, scripts)
		}
	}()
	return s
}

func (s *scriptedUpstream) serve(conn net.Conn, scripts []script) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		if n >= len(scripts) {
			return
		}
		scripts[n](request.Header.Get("X-Id"), conn)
	}
}

func write(conn net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(conn, format, args...) // the test checks what arrives
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Load: 3,1,6\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func succeed(body string) script {
	return func(id string, conn net.Conn) { write(conn, "%s", answer(id, body)) }
}

func newCall(s *scriptedUpstream, id string) *egress.Call {
	return &egress.Call{
		Upstream: "u-1", Address: s.address, Method: http.MethodPost, Target: "/a/b?c=d", Host: "h.example",
		Header: http.Header{"X-Id": {id}, "X-Key": {"secret"}, "X-Customer": {"forged"}}, Customer: "c",
		Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second),
	}
}

// Guards against forwarding responses that are incomplete, not signed by the upstream, or to another
// request.
func TestOnlyCompleteMatchingResponsesAreAccepted(t *testing.T) {
	cases := map[string]struct {
		script  script
		outcome egress.Outcome
		body    string
	}{
		"whole":       {succeed("fine"), egress.Answered, "fine"},
		"late answer": {func(id string, c net.Conn) { write(c, "%s%s", answer("other", "late"), answer(id, "mine")) }, egress.Answered, "mine"},
		"cut": {func(id string, c net.Conn) {
			write(c, "%s", answer(id, "fine")[:len(answer(id, "fine"))-2])
			_ = c.Close()
		}, egress.Unknown, ""},
		"cut in chunks": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfi", id)
			_ = c.Close()
		}, egress.Unknown, ""},
		"no length": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\nfine", id)
			_ = c.Close()
		}, egress.Answered, "fine"},
		"reset": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\nfi", id)
			time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, egress.Unknown, ""},
		"no signature": {func(id string, c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id) }, egress.Unknown, ""},
		"no answer":    {func(_ string, c net.Conn) { write(c, "%s", "\x00\x01garbage\r\n\r\n") }, egress.Unknown, ""},
		"closed":       {func(_ string, c net.Conn) { _ = c.Close() }, egress.Unknown, ""},
		"not run": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		}, egress.NotRun, ""},
		"misdirected": {func(_ string, c net.Conn) { write(c, "%s", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n") }, egress.NotRun, ""},
		"own failure": {func(id string, c net.Conn) {
			write(c, "HTTP/1.1 500 Bad\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nbad", id)
		}, egress.Answered, "bad"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			defer pool.Close()
			s := serveScripts(t, c.script)
			reply := pool.Do(context.Background(), newCall(s, "id-1"))
			is.Equal(reply.Outcome, c.outcome)
			is.Equal(string(reply.Body), c.body)
			is.Equal(int(s.requests.Load()), 1) // the request is sent only once
		})
	}
}

// Guards against reusing a connection after bytes that belong to no request.
func TestUnexpectedBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
	defer pool.Close()
	s := serveScripts(t,
		func(id string, c net.Conn) { write(c, "%s%s", answer(id, "one"), answer("x", "extra")) },
		succeed("two"),
		func(id string, c net.Conn) {
			write(c, "%s", answer(id, "three"))
			time.Sleep(20 * time.Millisecond)
			write(c, "%s", answer("x", "late"))
		},
		succeed("four"))
	for i, want := range []string{"one", "two", "three", "four"} {
		reply := pool.Do(context.Background(), newCall(s, fmt.Sprint(i)))
		is.Equal(string(reply.Body), want)
		if want == "three" {
			time.Sleep(60 * time.Millisecond) // the late answer arrives while the connection is idle
		}
	}
	is.Equal(int(s.conns.Load()), 3) // requests two and three share a connection
}

// Guards against keys, forged customer names and wrong request targets that reach an upstream.
func TestTheUpstreamGetsTheRequestUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Header.Set("Test-Body", string(body))
		w.Header().Set("X-Signature", "s")
		got <- r
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
	defer pool.Close()
	c := newCall(&scriptedUpstream{address: listener.Addr().String()}, "id-9")
	c.Header["Connection"] = []string{"close, X-Hop"}
	c.Header["X-Hop"] = []string{"1"}
	c.Header["X-Other"] = []string{"kept"}
	is.Equal(pool.Do(context.Background(), c).Outcome, egress.Answered)
	r := <-got
	is.Equal(r.RequestURI, "/a/b?c=d")
	is.Equal(r.Host, "h.example")
	is.Equal(r.Header.Get("Test-Body"), "body")
	is.Equal(r.Header.Get("X-Id"), "id-9")
	is.Equal(r.Header["X-Customer"], []string{"c"})
	is.Equal(r.Header.Get("X-Expected"), "u-1")
	is.Equal(r.Header.Get("X-Other"), "kept")
	is.Equal(r.Header.Get("X-Key")+r.Header.Get("X-Hop"), "")
	is.True(!strings.HasPrefix(r.Header.Get("X-Left"), "-"))
}

// Guards against an upstream that goes on working after the caller is gone.
func TestACancelledRequestClosesItsConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	started := make(chan struct{})
	s := serveScripts(t, func(_ string, c net.Conn) {
		close(started)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	is.Equal(pool.Do(ctx, newCall(s, "id")).Outcome, egress.Unknown)
	<-closed
}

// Guards against treating an unreachable upstream as one that may have run the request.
func TestAnUnreachableUpstreamDidNotRunTheRequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	_ = listener.Close()
	reply := egress.NewPool(names, memlimit.NewBudget(bufferMemory)).Do(context.Background(), newCall(&scriptedUpstream{address: address}, "id"))
	is.Equal(reply.Outcome, egress.NotRun)
	is.True(reply.Unreachable)
}
