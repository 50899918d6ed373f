package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/link"
	"pistachiomount.example/pistachiomount/memlimit"
)

// servePipe serves one connection in memory, whose deadlines follow the clock of the test, and returns the caller's end.
func servePipe(t *testing.T, scheduler *link.Scheduler, f handlerFunc) (*ingress.Server, net.Conn) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := ingress.NewServer(f, memlimit.NewBudget(bufferMemory), scheduler, log)
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	caller, accepted := net.Pipe()
	listener.conns <- accepted
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { // all goroutines must end with the test
		_ = caller.Close()
		server.StopAccepting()
		server.Wait(context.Background())
	})
	return server, caller
}

// contextBody is a body that is read from an upstream, whose connection is closed when the context of the request ends.
type contextBody struct {
	io.Reader
	ctx context.Context
}

func (b contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

func (b contextBody) Close() error { return nil }

// Guards against a planned stop that takes a connection with its last response under way for an idle one, and cuts it.
func TestPlannedStopSendsTheLastResponseToItsEnd(t *testing.T) {
	requests := map[string]string{
		"kept":              "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"connection: close": "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":          "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
	}
	links := map[string]func() *link.Scheduler{
		"slow link": func() *link.Scheduler { return link.NewScheduler(13_000_000) },
		"fast link": func() *link.Scheduler { return nil },
	}
	bodies := map[string]func(context.Context) *ingress.Response{
		"buffered": func(context.Context) *ingress.Response { return ok(download) },
		"remainder": func(ctx context.Context) *ingress.Response {
			response := ok(download[:1000])
			response.Rest, response.Length = contextBody{strings.NewReader(download[1000:]), ctx}, int64(len(download))
			return response
		},
	}
	for requestName, request := range requests {
		for linkName, scheduler := range links {
			for bodyName, body := range bodies {
				t.Run(requestName+", "+linkName+", "+bodyName, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						server, caller := servePipe(t, scheduler(), func(ctx context.Context, _ *ingress.Request) *ingress.Response {
							return body(ctx)
						})
						server.CloseAfterResponses()
						send(caller, request)
						response, err := http.ReadResponse(bufio.NewReader(caller), nil)
						is.NoErr(err)
						server.CloseIdle()
						synctest.Wait()
						got, err := io.ReadAll(response.Body)
						is.NoErr(err)
						is.Equal(string(got), download)
						is.True(response.Close)
					})
				})
			}
		}
	}
}

// Guards against an upload and its response that are cut together by a planned stop.
func TestPlannedStopReadsABodyToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := strings.Repeat("x", 600<<10) // more than is buffered
		server, caller := servePipe(t, nil, func(_ context.Context, r *ingress.Request) *ingress.Response {
			rest, err := io.ReadAll(r.Rest)
			is.NoErr(err)
			return ok(string(r.Body) + string(rest))
		})
		server.CloseAfterResponses()
		send(caller, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 614400\r\n\r\n"+body[:300<<10])
		server.CloseIdle()
		synctest.Wait()
		send(caller, body[300<<10:])
		_, got, _ := read(t, bufio.NewReader(caller))
		is.Equal(len(got), len(body))
	})
}

// Guards against a request that is sent in part, and whose time runs out, that cuts the response to the one before it.
func TestTimeoutOfARequestLeavesTheResponseBeforeIt(t *testing.T) {
	for name, part := range map[string]string{
		"head": "GET /2 HTTP/1.1\r\nHost: h\r\n",
		"body": "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, caller := servePipe(t, nil, func(context.Context, *ingress.Request) *ingress.Response {
					time.Sleep(20 * time.Second) // longer than the timeouts of heads and bodies
					return ok("first")
				})
				send(caller, get("/1")+part)
				br := bufio.NewReader(caller)
				_, body, _ := read(t, br)
				is.Equal(body, "first")
				_, err := br.ReadByte()
				is.Equal(err, io.EOF) // the second request gets no response
			})
		})
	}
}

// Guards against a departure that goes unnoticed behind a request whose time has run out.
func TestDepartureIsNoticedBehindARequestThatTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		_, caller := servePipe(t, nil, func(ctx context.Context, _ *ingress.Request) *ingress.Response {
			<-ctx.Done()
			close(cancelled)
			return &ingress.Response{Abort: true}
		})
		send(caller, get("/1")+"GET /2 HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(5 * time.Second) // longer than the timeout of heads
		_ = caller.Close()
		<-cancelled
	})
}

// Guards against a planned stop that closes a connection at once whose last response may still be on its way: what the
// caller sends meanwhile would reset it.
func TestPlannedStopLeavesALingeringConnection(t *testing.T) {
	is := is.New(t)
	server, address := serve(t, func(context.Context, *ingress.Request) *ingress.Response { return ok("last") })
	for range 100 { // a busy machine may take longer than the connection lingers, 100 ms
		conn, br := dial(t, address)
		began := time.Now() // before the connection begins to linger
		send(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, body, _ := read(t, br)
		is.Equal(body, "last")
		_, err := br.ReadByte()
		is.Equal(err, io.EOF)
		server.CloseIdle()
		var failed error
		for range 4 {
			time.Sleep(5 * time.Millisecond)
			if _, err := conn.Write([]byte("x")); err != nil {
				failed = err
			}
		}
		if time.Since(began) < 90*time.Millisecond {
			is.NoErr(failed)
			return
		}
	}
	t.Fatal("the machine is too slow for this test")
}
