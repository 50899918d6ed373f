package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/link"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Guards against chunks in a response to a caller of HTTP/1.0, who takes them for the body, and against such a response
// that is cut and ends like a complete one.
func TestResponseWithoutLengthToHTTP10(t *testing.T) {
	for linkName, rate := range map[string]int64{"fast link": 0, "slow link": 100_000_000} {
		for headerName, header := range map[string]string{"": "", ", keep-alive": "Connection: keep-alive\r\n"} {
			for _, cut := range []bool{false, true} {
				t.Run(linkName+headerName+map[bool]string{true: ", cut"}[cut], func(t *testing.T) {
					is := is.New(t)
					_, address := serveOnLink(t, memlimit.NewBudget(bufferMemory), link.NewScheduler(rate), func(context.Context, *ingress.Request) *ingress.Response {
						response := ok(download[:1000])
						rest := io.Reader(strings.NewReader(download[1000:]))
						if cut {
							rest = io.MultiReader(rest, lateFailure{})
						}
						response.Rest, response.Length = io.NopCloser(rest), -1
						return response
					})
					conn, br := dial(t, address)
					send(conn, "GET / HTTP/1.0\r\nHost: h\r\n"+header+"\r\n")
					body, closes, err := readHTTP10(br)
					is.True(closes)
					is.Equal(body, download)
					is.Equal(errors.Is(err, syscall.ECONNRESET), cut)
					is.Equal(err == nil, !cut)
				})
			}
		}
	}
}

// lateFailure fails once what was sent before has arrived.
type lateFailure struct{}

func (lateFailure) Read([]byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return 0, io.ErrUnexpectedEOF
}

// readHTTP10 reads a response as a caller does that knows no chunks: up to the end of the connection.
func readHTTP10(br *bufio.Reader) (body string, closes bool, err error) {
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return "", false, err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		closes = closes || http.CanonicalHeaderKey(name) == "Connection" && value == "close"
		if name == "" {
			raw, err := io.ReadAll(br)
			return string(raw), closes, err
		}
	}
}
