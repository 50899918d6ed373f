package egress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/memlimit"
)

const (
	// uploadBytes exceeds what the kernel buffers, so that the upload is still being written when the response comes.
	uploadBytes = 8 << 20
	// arrivalTime is the time after which what was sent has arrived.
	arrivalTime = 50 * time.Millisecond
)

// serveEarly serves one connection: it gets the ID of the first request as soon as its head was read.
func serveEarly(t *testing.T, respond func(id string, conn *net.TCPConn)) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := make([]byte, 4<<10)
		n, _ := conn.Read(head)
		_, id, _ := strings.Cut(string(head[:n]), "X-Id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		respond(id, conn.(*net.TCPConn))
	}()
	return &scriptedUpstream{address: listener.Addr().String()}
}

func reset(conn *net.TCPConn) {
	time.Sleep(arrivalTime)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// silence reads nothing until the connection is given up for the upload that is not acknowledged.
func silence(*net.TCPConn) { time.Sleep(4 * time.Second) }

// uploads are the ways in which a long body is sent.
var uploads = map[string]func(*egress.Call){
	"buffered": func(c *egress.Call) { c.Body = make([]byte, uploadBytes) },
	"length":   func(c *egress.Call) { c.Rest, c.Length = io.LimitReader(zeros{}, uploadBytes), 4+uploadBytes },
	"chunks":   func(c *egress.Call) { c.Rest, c.Length = io.LimitReader(zeros{}, uploadBytes), -1 },
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// readings are the ways in which a response is passed on.
var readings = map[string]struct {
	budget int64
	stream bool
}{
	"buffered":  {bufferMemory, false},
	"streamed":  {bufferMemory, true},
	"remainder": {0, false},
}

// Guards against a part of a response without a length that looks complete because the reset of its connection was
// reported to the write of the request, and against a complete response that is lost with the upload.
func TestEarlyResponseIsCompleteOnlyIfItsEndArrived(t *testing.T) {
	body := longBody[:60<<10]
	responses := map[string]struct {
		head    string
		end     func(*net.TCPConn)
		arrives bool
	}{
		"reset":           {"HTTP/1.1 200 OK\r\n%s\r\n", reset, false},
		"reset, HTTP/1.0": {"HTTP/1.0 200 OK\r\n%s\r\n", reset, false},
		"closed with the upload unread": {"HTTP/1.1 200 OK\r\n%s\r\n", func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1)) // more of the upload has arrived with this byte
			time.Sleep(arrivalTime)
			_ = c.Close()
		}, false},
		"silent": {"HTTP/1.1 200 OK\r\n%s\r\n", silence, false},
		"ended, then silent": {"HTTP/1.1 200 OK\r\n%s\r\n", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			silence(c)
		}, true},
		"ended, then reset": {"HTTP/1.1 200 OK\r\n%s\r\n", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			reset(c)
		}, true},
		"ended, and the upload read": {"HTTP/1.1 200 OK\r\n%s\r\n", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		"length, then reset": {"HTTP/1.1 200 OK\r\n%sContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n", reset, true},
	}
	for uploadName, upload := range uploads {
		for readingName, reading := range readings {
			for name, response := range responses {
				t.Run(uploadName+" upload, "+readingName+" response, "+name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := serveEarly(t, func(id string, conn *net.TCPConn) {
						write(conn, response.head, "X-Id: "+id+"\r\nX-Signature: s\r\n")
						write(conn, "%s", body)
						response.end(conn)
					})
					pool := egress.NewPool(names, memlimit.NewBudget(reading.budget))
					defer pool.Close()
					call := newCall(s, "a")
					call.Deadline = time.Now().Add(time.Minute)
					upload(call)
					if reading.stream {
						call.Stream = func(time.Time, int64) bool { return true }
					}
					reply := pool.Do(context.Background(), call)
					got, err := string(reply.Body), reply.Err
					if reply.Rest != nil {
						rest, restErr := io.ReadAll(reply.Rest)
						got, err = got+string(rest), restErr
					}
					defer reply.Discard()
					if response.arrives {
						is.NoErr(err)
						is.Equal(reply.Status, http.StatusOK)
						is.Equal(len(got), len(body))
						return
					}
					is.True(err != nil)
					is.True(reply.Outcome == egress.Unknown || reply.Rest != nil)
				})
			}
		}
	}
}

// Guards against a rejection that counts as a request that may have run, because the end of its body did not arrive.
func TestEarlyRejectionIsNotRun(t *testing.T) {
	for name, head := range map[string]string{
		"rejected":    "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n\r\nfull",
		"misdirected": "HTTP/1.1 421 Other\r\nX-Id: %s\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serveEarly(t, func(id string, conn *net.TCPConn) {
				write(conn, head, id)
				reset(conn)
			})
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			defer pool.Close()
			call := newCall(s, "a")
			uploads["length"](call)
			is.Equal(pool.Do(context.Background(), call).Outcome, egress.NotRun)
		})
	}
}
