package egress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/memlimit"
)

const (
	// bufferedResponse is the buffer of a whole response, and maxExtraMemory what one exchange may use
	// beyond it, in bytes.
	bufferedResponse = 1 << 20
	maxExtraMemory   = 1 << 20
	// bufferMemory is the budget for all buffered responses, in bytes.
	bufferMemory = 4 << 20
)

// endless returns a script that sends start, and then piece until the connection ends.
func endless(start, piece string, pause time.Duration) script {
	return func(id string, c net.Conn) {
		if strings.Contains(start, "%s") {
			start = fmt.Sprintf(start, id)
		}
		more := []byte(piece) // converted once: garbage of this side would count as memory of the exchange
		for data := []byte(start); ; data = more {
			if _, err := c.Write(data); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// endlessForms are responses that have no end.
func endlessForms() map[string]script {
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n"
	filler := strings.Repeat("x", 32<<10)
	return map[string]script{
		"status line":            endless("HTTP/1.1 200 ", filler, 0),
		"no protocol":            endless("", filler, 0),
		"header line":            endless(head+"X-Long: ", filler, 0),
		"header lines":           endless(head, strings.Repeat("X-More: yyyyyyyyyyyyyyyyyyyyyyy\r\n", 1000), 0),
		"interim responses":      endless("", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 1000), 0),
		"chunk extension":        endless(head+"Transfer-Encoding: chunked\r\n\r\n5;ext=", filler, 0),
		"chunk size":             endless(head+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 32<<10), 0),
		"trailers":               endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-More: yyyyyyyyyyyyyyyyyyyyyyy\r\n", 1000), 0),
		"slow head":              endless("HTTP/1.1 200 OK\r\nX-Slow: ", "x", time.Millisecond),
		"slow body":              endless(head+"\r\n", "x", time.Millisecond),
		"slow chunks":            endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond),
		"responses of others":    endless("", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n", 1000), 0),
		"body of other response": endless("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", filler, 0),
	}
}

// Guards against a response without end that exhausts the memory of a VM, that outlasts the deadline
// of its request, or that counts as complete or as not run.
func TestResponseWithoutEndIsBounded(t *testing.T) {
	for name, form := range endlessForms() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			defer pool.Close()
			s := serveScripts(t, form, succeed("next"))
			call := newCall(s, "id-1")
			call.Deadline = time.Now().Add(300 * time.Millisecond)
			var reply *egress.Reply
			peak := peakMemory(func() { reply = pool.Do(context.Background(), call) })
			is.Equal(reply.Outcome, egress.Unknown)
			is.True(reply.Err != nil)
			is.True(time.Since(call.Deadline) < 2*time.Second) // ended with its deadline
			is.True(peak < bufferedResponse+maxExtraMemory)
			next := pool.Do(context.Background(), newCall(s, "id-2"))
			is.Equal(string(next.Body), "next")
			is.Equal(int(s.conns.Load()), 2) // the connection of the first request was not reused
		})
	}
}

// Guards against an endless body that counts as complete, outlasts the deadline, or is still read
// after the caller has left.
func TestLongBodyWithoutLengthEndsWithItsRequest(t *testing.T) {
	body := endless("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\n", strings.Repeat("x", 32<<10), 0)
	for _, left := range []bool{false, true} {
		t.Run(fmt.Sprintf("caller left: %v", left), func(t *testing.T) {
			is := is.New(t)
			pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
			defer pool.Close()
			s := serveScripts(t, body)
			call := newCall(s, "id-1")
			if !left {
				call.Deadline = time.Now().Add(500 * time.Millisecond)
			}
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			var reply *egress.Reply
			peak := peakMemory(func() {
				reply = pool.Do(ctx, call)
				is.Equal(reply.Outcome, egress.Answered)
				is.True(reply.Rest != nil)
				if left {
					time.AfterFunc(100*time.Millisecond, leave)
				}
				_, err := io.Copy(io.Discard, reply.Rest)
				is.True(err != nil) // not complete
			})
			is.True(time.Until(call.Deadline) > 0 == left)
			is.True(peak < bufferedResponse+maxExtraMemory)
			_ = reply.Rest.Close() // the connection may be closed already
		})
	}
}

// Guards against the buffers of many long responses that together exhaust the memory of a VM, and against
// bodies that are cut or altered because they are forwarded without being buffered whole.
func TestBuffersOfManyResponsesStayWithinTheirBudget(t *testing.T) {
	const responses, length = 100, 600 << 10
	body := strings.Repeat("0123456789abcdef", length/16)
	bytesOfBody := []byte(body)
	for name, head := range map[string]string{
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n", length),
		"no length": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := memlimit.NewBudget(bufferMemory)
			pool := egress.NewPool(names, budget)
			defer pool.Close()
			s := serveScripts(t, slices.Repeat([]script{func(id string, c net.Conn) {
				write(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nConnection: close\r\n%s", id, head)
				_, _ = c.Write(bytesOfBody) // not formatted: a copy here would count as memory of the exchange
				_ = c.Close()
			}}, responses)...)
			replies := make([]*egress.Reply, responses)
			peak := peakMemory(func() {
				var exchanges sync.WaitGroup
				for i := range replies {
					exchanges.Go(func() { replies[i] = pool.Do(context.Background(), newCall(s, fmt.Sprint("id-", i))) })
				}
				exchanges.Wait()
				time.Sleep(10 * time.Millisecond) // for one more measurement
			})
			t.Logf("peak %d kB", peak>>10)
			is.True(peak < bufferMemory+responses*maxExtraMemory/16)
			buffered := 0
			for _, reply := range replies {
				is.Equal(reply.Outcome, egress.Answered)
				got := string(reply.Body)
				if reply.Rest != nil {
					rest, err := io.ReadAll(reply.Rest)
					is.NoErr(err)
					got += string(rest)
				} else {
					buffered++
				}
				is.True(got == body)
				reply.Discard()
			}
			is.True(buffered > 0)
			is.Equal(budget.Left(), int64(bufferMemory)) // all was returned
		})
	}
}

// peakMemory returns by how many bytes the live heap grew while f ran.
func peakMemory(f func()) uint64 {
	live := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before, peak := live(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
			if now := live(); now > before {
				peak = max(peak, now-before)
			}
		}
	}
}

// Guards against a late copy of a response without a request ID that is taken as the response to the
// next request on the connection, or as proof that this one did not run.
func TestCopyWithoutIDOnAReusedConnectionIsNotAccepted(t *testing.T) {
	for _, copied := range []string{
		"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		pool := egress.NewPool(names, memlimit.NewBudget(bufferMemory))
		s := serveScripts(t, succeed("one"), func(id string, c net.Conn) { write(c, "%s%s", copied, answer(id, "two")) })
		is.Equal(string(pool.Do(context.Background(), newCall(s, "a")).Body), "one")
		reply := pool.Do(context.Background(), newCall(s, "b"))
		is.Equal(reply.Outcome, egress.Unknown)
		is.Equal(int(s.conns.Load()), 1) // the connection was reused
		pool.Close()
	}
}
