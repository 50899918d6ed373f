package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a shutdown that takes a connection with its last response under way for an idle one, and cuts it.
func TestShutdownSendsTheLastResponseToItsEnd(t *testing.T) {
	const size = 16 << 20 // more than is buffered, here and in the kernel
	for name, request := range map[string]string{
		"kept":              "GET /open HTTP/1.1\r\nHost: h\r\n\r\n",
		"connection: close": "GET /open HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":          "GET /open HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, newRecorder(t, "a", "near", func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(rw, strings.Repeat("z", size))
			}))
			conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			ended := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			go func() { ended <- w.server.Config.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond) // the server looks for idle connections meanwhile
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), size)
			is.NoErr(<-ended)
		})
	}
}
