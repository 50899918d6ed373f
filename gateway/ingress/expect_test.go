package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/ingress"
)

const expecting = "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n"

// gatedReader returns its parts one by one, each once the gate opens.
type gatedReader struct {
	parts []string
	gate  <-chan struct{}
}

func (r *gatedReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	<-r.gate
	n := copy(p, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

func (r *gatedReader) Close() error { return nil }

// Guards against an interim response that is sent in the middle of the response to an earlier request, or
// before it.
func TestInterimResponseFollowsEarlierResponses(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprint("streamed ", streamed), func(t *testing.T) {
			is := is.New(t)
			gate, started := make(chan struct{}), make(chan struct{})
			_, address := serve(t, func(_ context.Context, r *ingress.Request) *ingress.Response {
				if r.Path != "/1" {
					return ok(string(r.Body))
				}
				close(started)
				response := &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("begin-")}
				if streamed {
					response.Length, response.Rest = 16, &gatedReader{parts: []string{"middle", "-end"}, gate: gate}
					return response
				}
				<-gate
				return response
			})
			conn, br := dial(t, address)
			send(conn, get("/1"))
			<-started
			send(conn, expecting)
			time.Sleep(50 * time.Millisecond) // the second head is read while the first response is due
			gate <- struct{}{}
			if streamed {
				time.Sleep(20 * time.Millisecond)
				gate <- struct{}{}
			}
			want := map[bool]string{false: "begin-", true: "begin-middle-end"}[streamed]
			status, body, _ := read(t, br)
			is.Equal(status, http.StatusOK)
			is.Equal(body, want)
			status, _, _ = read(t, br)
			is.Equal(status, http.StatusContinue)
			send(conn, "hello")
			status, body, _ = read(t, br)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "hello")
		})
	}
}

// Guards against a body that is only read after the interim response: callers may send it without one.
func TestBodyIsReadWithoutAnInterimResponse(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	both := make(chan struct{}, 2)
	_, address := serve(t, func(_ context.Context, r *ingress.Request) *ingress.Response {
		both <- struct{}{}
		<-gate
		return ok(r.Path + string(r.Body))
	})
	conn, br := dial(t, address)
	send(conn, get("/1")+expecting+"hello")
	<-both
	<-both // the second request runs beside the first
	close(gate)
	_, body, _ := read(t, br)
	is.Equal(body, "/1")
	status, body, _ := read(t, br)
	if status == http.StatusContinue {
		status, body, _ = read(t, br)
	}
	is.Equal(status, http.StatusOK)
	is.Equal(body, "/2hello")
}

// Guards against a caller whose departure goes unnoticed while a request waits for its interim response.
func TestDepartureIsNoticedBeforeTheInterimResponse(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, address := serve(t, func(ctx context.Context, _ *ingress.Request) *ingress.Response {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return &ingress.Response{Abort: true}
	})
	conn, _ := dial(t, address)
	send(conn, get("/1"))
	<-started
	send(conn, expecting)
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	<-cancelled
}

// Guards against an interim response to a request of HTTP/1.0, whose callers do not know it.
func TestNoInterimResponseInHTTP10(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, func(_ context.Context, r *ingress.Request) *ingress.Response { return ok(string(r.Body)) })
	conn, br := dial(t, address)
	send(conn, strings.Replace(expecting, "HTTP/1.1", "HTTP/1.0", 1)+"hello")
	status, body, _ := read(t, br)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
}

// Guards against an interim response behind a response that ends the connection.
func TestNoInterimResponseAfterTheLastResponse(t *testing.T) {
	is := is.New(t)
	started, gate := make(chan struct{}), make(chan struct{})
	_, address := serve(t, func(context.Context, *ingress.Request) *ingress.Response {
		close(started)
		<-gate
		response := ok("last")
		response.Close = true
		return response
	})
	conn, br := dial(t, address)
	send(conn, get("/1"))
	<-started
	send(conn, expecting)
	time.Sleep(20 * time.Millisecond)
	close(gate)
	_, body, closes := read(t, br)
	is.Equal(body, "last")
	is.True(closes)
	rest, err := io.ReadAll(br)
	is.NoErr(err)
	is.Equal(string(rest), "")
}
