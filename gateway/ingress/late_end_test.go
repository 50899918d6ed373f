package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/link"
)

// pipeListener accepts one connection in memory, whose deadlines follow the clock of the test.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	if nc, ok := <-l.conns; ok {
		return nc, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error {
	close(l.conns)
	return nil
}

// Guards against a complete chunked response that is cut because its end arrives later than the write timeout after
// its last data.
func TestEndOfAChunkedResponseMayArriveLate(t *testing.T) {
	for name, scheduler := range map[string]*link.Scheduler{"in turns": link.NewScheduler(100_000_000), "whole": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rest, upstream := io.Pipe()
				_, caller := servePipe(t, scheduler, func(context.Context, *ingress.Request) *ingress.Response {
					response := ok("")
					response.Rest, response.Length = rest, -1
					return response
				})
				go func() {
					_, _ = io.WriteString(upstream, "data")
					time.Sleep(12 * time.Second) // longer than the write timeout
					_ = upstream.Close()
				}()
				send(caller, get("/"))
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), "data")
			})
		})
	}
}
