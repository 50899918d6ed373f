package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a long response without a length that is cut and looks complete to a caller of HTTP/1.0, for whom it
// ends with its connection, and against a complete one that does not.
func TestTruncatedResponseWithoutLengthToHTTP10(t *testing.T) {
	const size = 2 << 20 // more than is buffered
	for name, end := range map[string]string{"cut": "", "complete": "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, newRecorder(t, "a", "near", sendAndClose(fmt.Sprintf(
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", size, strings.Repeat("x", size), end))))
			conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET /open HTTP/1.0\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			body, err := io.ReadAll(response.Body)
			if end == "" {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(len(body), size)
		})
	}
}
