package egress_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Guards against a second copy of an earlier refusal that is taken for the response to the next request
// on the connection: the caller would be told that a request did not run which runs.
func TestRepeatedRefusalDoesNotCountForTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		first, copied string // ID headers of the refusal and its copy
		id            string // of the next request
	}{
		"with its ID":                 {"X-Id: a\r\n", "X-Id: a\r\n", "b"},
		"copy without ID":             {"X-Id: a\r\n", "", "b"},
		"neither has an ID":           {"", "", "b"},
		"next request without ID":     {"X-Id: a\r\n", "", ""},
		"misdirected, without ID":     {"X-Id: a\r\n", "421", "b"},
		"misdirected, no ID anywhere": {"X-Id: a\r\n", "421", ""},
	}
	for name, c := range cases {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, late %v", name, late), func(t *testing.T) {
				is := is.New(t)
				pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
				defer pool.Close()
				copied := fmt.Sprintf(refusal, c.copied)
				if c.copied == "421" {
					copied = "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"
				}
				s := serveScripts(t,
					func(_ string, conn net.Conn) {
						write(conn, refusal, c.first)
						if !late {
							write(conn, "%s", copied)
						}
					},
					func(id string, conn net.Conn) {
						if late { // written when the next request has arrived
							write(conn, "%s", copied)
						}
						write(conn, "%s", answer(id, "ran"))
					})
				is.Equal(pool.Do(context.Background(), newCall(s, "a")).Outcome, egress.NotRun)
				reply := pool.Do(context.Background(), newCall(s, c.id))
				is.True(reply.Outcome != egress.NotRun || s.conns.Load() > 1) // a copy on a new connection is a refusal of its own
				if s.conns.Load() == 1 {
					is.True(reply.Outcome == egress.Unknown || string(reply.Body) == "ran")
				}
			})
		}
	}
}

// Guards against a response whose head was cut that counts as a response, such as a success with an
// empty body.
func TestHeadThatIsCutIsNoResponse(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\n"
	for _, framing := range []string{whole, strings.Replace(whole, "Content-Length: 4", "Transfer-Encoding: chunked", 1), strings.Replace(whole, "Content-Length: 4\r\n", "", 1)} {
		for cut := range len(framing) {
			head := framing[:cut]
			s := serveScripts(t, func(_ string, c net.Conn) {
				write(c, "%s", head)
				_ = c.Close()
			})
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			reply := pool.Do(context.Background(), newCall(s, "id-1"))
			pool.Close()
			if reply.Outcome != egress.Unknown || reply.Announced.Heard {
				t.Fatalf("%q: outcome %v, status %d", head, reply.Outcome, reply.Status)
			}
		}
	}
}
