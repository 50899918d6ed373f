package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against truncated, rejected and failed responses that reach a caller of an
// idempotent route although another upstream works.
func TestIdempotentRetries(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
		want  Result
	}{
		{"closes connection", sendAndClose(""), ResultFailed},
		{"truncated body", sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"), ResultFailed},
		{"truncated chunks", sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), ResultFailed},
		{"undelimited body", sendAndClose("HTTP/1.1 200 OK\r\n\r\nabc"), ResultFailed},
		{"502", respondStatus(502), ResultRejected},
		{"503", respondStatus(503), ResultRejected},
		{"504", respondStatus(504), ResultRejected},
		{"no response", neverRespond, ResultTimeout},
		{"response to another request", respondToAnother, ResultFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad, good := newRecorder(t, "bad", "near", c.serve), newRecorder(t, "good", "near", nil)
			w := newHarness(t, bad, good)
			is.Equal(w.doAsAlice("GET", "/short", "").body, "good")
			is.Equal(bad.count(), 1)
			is.Equal(w.reports[c.want], 1)
			w.retries = 0 // an empty retry budget leaves a single attempt
			is.Equal(w.doAsAlice("GET", "/look", "", "X-Request-Deadline-Ms", "100").header.Get("X-Request-Run"), "unknown")
			is.Equal(good.count(), 1)
		})
	}
}

// respondToAnother responds as with a late copy of the response to an earlier request.
func respondToAnother(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Request-Id", "earlier")
	_, _ = io.WriteString(w, "bad")
}

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// Guards against missing that an upstream is draining, and against mistaking an upstream
// for draining because the proxy itself asked to close the connection.
func TestDrainingIsReported(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "near", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "GET" {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	w := newHarness(t, up)
	is.Equal(w.doAsAlice("POST", "/book", "").status, 503)
	is.Equal(w.draining, 0)
	is.Equal(w.doAsAlice("GET", "/look", "").reason(), "upstream_failed/unknown")
	is.Equal(w.draining, 1)
}

// Guards against an error response to the caller because one upstream refuses connections,
// and against unknown where no attempt can have sent anything.
func TestConnectErrors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dead := &recorder{upstream: Upstream{Name: "dead", Address: l.Addr().String(), Region: "near"}}
	is.NoErr(l.Close())
	is.Equal(newHarness(t, dead, newRecorder(t, "b", "far", nil)).doAsAlice("GET", "/look", "").body, "b")
	is.Equal(newHarness(t, dead).doAsAlice("GET", "/look", "").reason(), "upstream_failed/not_run")
}

// Guards against the late response of a cancelled attempt reaching any caller: the slow
// upstream answers every request after its hedge has won.
func TestLateResponsesAreDiscarded(t *testing.T) {
	is := is.New(t)
	echo := func(w http.ResponseWriter, r *http.Request, from string) {
		_, _ = io.WriteString(w, strings.Repeat(from+r.URL.RawQuery+".", 500))
	}
	var late atomic.Int64
	slow := newRecorder(t, "slow", "near", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "slow")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		echo(w, r, "slow")
		late.Add(1)
	})
	fast := newRecorder(t, "fast", "near", func(w http.ResponseWriter, r *http.Request) { echo(w, r, "fast") })
	w := newHarness(t, slow, fast)
	w.hedge, w.retries = time.Millisecond, 1000
	var wg sync.WaitGroup
	wrong := make(chan string, 400)
	for worker := range 10 {
		wg.Go(func() {
			for i := range 20 {
				q := fmt.Sprintf("n=%d-%d", worker, i)
				got := w.doAsAlice("GET", "/look?"+q, "")
				if got.status != 200 || got.body != strings.Repeat("fast"+q+".", 500) {
					wrong <- q
				}
			}
		})
	}
	wg.Wait()
	is.Equal(len(wrong), 0)
	is.Equal(fast.count(), 200)
	eventually(t, "every loser reported", func() bool { return w.reports[ResultCancelled] == 200 }, &w.mu)
	is.Equal(w.reports[ResultCompleted], 200)
}

// Guards against hedges without retry budget or grants.
func TestHedgeNeedsBudgetAndGrants(t *testing.T) {
	for _, rejected := range []string{"", "slotfast"} {
		is := is.New(t)
		var fast *recorder
		slow := newRecorder(t, "slow", "near", func(w http.ResponseWriter, _ *http.Request) {
			for range 40 { // longer than the hedge delay
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(w, "slow")
		})
		fast = newRecorder(t, "fast", "near", nil)
		w := newHarness(t, slow, fast)
		w.hedge, w.reject[rejected] = time.Millisecond, rejected != ""
		w.retries = len(rejected) // none in the first round
		is.Equal(w.doAsAlice("GET", "/look", "").body, "slow")
		is.Equal(fast.count(), 0)
	}
}

// Guards against a truncated large response that looks complete.
func TestTruncatedLargeResponseAbortsConnection(t *testing.T) {
	is := is.New(t)
	part := strings.Repeat("x", 2<<20)
	for name, serve := range map[string]http.HandlerFunc{
		"length": sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + part),
		"chunks": sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + part + "\r\n"),
	} {
		up, spare := newRecorder(t, name, "near", serve), newRecorder(t, "spare", "near", nil)
		w := newHarness(t, up, spare)
		got := w.doAsAlice("GET", "/look", "")
		is.Equal(got.status, 200)
		is.True(got.err != nil) // the caller sees that the response is truncated
		is.Equal(spare.count(), 0)
		eventually(t, "reported as failed", func() bool { return w.reports[ResultFailed] == 1 && w.ended[0].Aborted }, &w.mu)
	}
}

// Guards against responses that lose bytes, trailers or their encoding.
func TestCompleteResponses(t *testing.T) {
	up := newRecorder(t, "a", "far", func(w http.ResponseWriter, r *http.Request) {
		size := 0
		_, _ = fmt.Sscanf(r.URL.RawQuery, "%d", &size)
		if r.Method == http.MethodPut {
			w.Header().Set("Trailer", "X-Sum")
			defer w.Header().Set("X-Sum", "7")
		}
		w.Header().Set("Content-Encoding", "gzip") // must not be decoded
		_, _ = io.WriteString(w, strings.Repeat("y", size))
	})
	w := newHarness(t, up)
	for _, size := range []int{0, 1, 8 << 10, 64<<10 + 1, 1<<20 - 1, 1 << 20, 1<<20 + 1, 5 << 20} {
		for _, method := range []string{"GET", "PUT", "HEAD"} {
			t.Run(fmt.Sprint(method, size), func(t *testing.T) {
				is := is.New(t)
				got := w.doAsAlice(method, fmt.Sprintf("/look?%d", size), "")
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.True(method == "HEAD" || got.body == strings.Repeat("y", size))
				is.Equal(got.header.Get("Content-Encoding"), "gzip")
				is.True(method != "PUT" || got.header.Get("Trailer-X-Sum") == "7")
			})
		}
	}
	is := is.New(t)
	// The charges cover the bytes transferred and at most the estimate for headers beyond
	// them.
	passed := 2 * (8<<10 + 64<<10 + 3<<20 + 5<<20 + 2)
	is.True(w.links["far>near"] >= passed && w.links["far>near"] < passed+24*4096)
	is.True(w.links["near>far"] >= 24*headerOverhead && w.links["near>far"] < 24*4096)
}
