package ingress_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/memlimit"
)

// Guards against the bodies of many requests that together exhaust the memory of a VM, and against bodies
// that are cut or altered because they are forwarded without being buffered whole.
func TestRequestBodiesStayWithinTheirBudget(t *testing.T) {
	const callers, length = 20, 200 << 10
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", length/16)
	budget := memlimit.NewBudget(bufferMemory)
	arrived, release := make(chan int, callers), make(chan struct{})
	_, address := serveWithin(t, budget, func(_ context.Context, r *ingress.Request) *ingress.Response {
		arrived <- len(r.Body)
		<-release
		whole := string(r.Body)
		if r.Rest != nil {
			rest, err := io.ReadAll(r.Rest)
			if err != nil {
				t.Error(err)
			}
			whole += string(rest)
		}
		return ok(fmt.Sprint(whole == body))
	})
	for range callers {
		conn, br := dial(t, address)
		go send(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body))
		defer func() {
			_, answer, _ := read(t, br)
			is.Equal(answer, "true")
		}()
	}
	buffered := 0
	for range callers {
		buffered += <-arrived
	}
	close(release)
	is.True(buffered <= bufferMemory+callers*(16<<10))
	for budget.Left() < bufferMemory { // all is returned
		time.Sleep(time.Millisecond)
	}
}

// Guards against memory that is not returned when a stopping server leaves a request unread.
func TestBodyOfARequestThatIsNotTakenIsReleased(t *testing.T) {
	is := is.New(t)
	budget := memlimit.NewBudget(bufferMemory)
	started, release := make(chan struct{}), make(chan struct{})
	server, address := serveWithin(t, budget, func(context.Context, *ingress.Request) *ingress.Response {
		close(started)
		<-release
		return ok("first")
	})
	conn, br := dial(t, address)
	send(conn, get("/1"))
	<-started
	server.CloseAfterResponses()
	server.StopAccepting()
	send(conn, "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("b", 60000))
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, body, _ := read(t, br)
	is.Equal(body, "first")
	for budget.Left() < bufferMemory {
		time.Sleep(time.Millisecond)
	}
}
