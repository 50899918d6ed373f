package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against further requests on connections that are as old as one that timed out:
// this upstream answers only the first request of a connection.
func TestTimeoutRetiresOlderConnections(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var both sync.WaitGroup
	both.Add(2)
	used := map[string]bool{}
	a := newRecorder(t, "a", "near", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		again := used[r.RemoteAddr]
		used[r.RemoteAddr] = true
		mu.Unlock()
		switch {
		case again:
			neverRespond(w, r)
		case r.URL.RawQuery == "pair": // opens two connections
			both.Done()
			both.Wait()
		}
		_, _ = io.WriteString(w, "a")
	})
	w := newHarness(t, a, newRecorder(t, "b", "near", nil))
	var pair sync.WaitGroup
	for range 2 {
		pair.Go(func() { w.doAsAlice("GET", "/look?pair", "") })
	}
	pair.Wait()
	is.Equal(w.doAsAlice("GET", "/short", "").body, "b") // the first connection times out
	is.Equal(w.reports[ResultTimeout], 1)
	is.Equal(w.doAsAlice("GET", "/short", "").body, "a") // the second connection is not tried
	is.Equal(len(used), 3)
}

// Guards against reporting a timeout of the upstream when the caller's deadline left it
// too little time.
func TestShortCallerDeadlineIsNoUpstreamTimeout(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, newRecorder(t, "a", "near", neverRespond))
	is.Equal(w.doAsAlice("POST", "/book", "", "X-Request-Deadline-Ms", "30").reason(), "deadline/unknown")
	is.Equal(w.reports[ResultTimeout], 0)
	is.Equal(w.reports[ResultCancelled], 1)
}

// Guards against requests that are sent before the link grant allows it, and against
// reporting unknown or keeping bytes charged when nothing was sent.
func TestRequestWaitsForLinkGrant(t *testing.T) {
	is := is.New(t)
	up := newRecorder(t, "a", "far", nil)
	w := newHarness(t, up)
	waits := 0
	w.linkGate = func(ctx context.Context) error {
		if waits++; waits%2 == 0 { // the second wait is for the reverse direction
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	is.Equal(w.doAsAlice("POST", "/brief", "").reason(), "deadline/not_run")
	is.Equal(w.doAsAlice("GET", "/look", "", "X-Request-Deadline-Ms", "50").reason(), "over_capacity/not_run")
	is.Equal(up.count(), 0)
	is.Equal(w.links["near>far"]+w.links["far>near"], 0)
}

// Guards against reading a response before its link grant allows it.
func TestResponseWaitsForLinkGrant(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, newRecorder(t, "a", "far", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, strings.Repeat("l", 3<<20))
	}))
	open := make(chan struct{})
	var waits atomic.Int64
	w.linkGate = func(context.Context) error {
		if waits.Add(1) > 2 {
			<-open
		}
		return nil
	}
	done := make(chan int)
	go func() { done <- len(w.doAsAlice("GET", "/look", "").body) }()
	eventually(t, "a read waits with the initial charge", func() bool {
		return waits.Load() == 3 && w.links["far>near"] == initialResponseCharge
	}, &w.mu)
	is.Equal(len(done), 0)
	close(open)
	is.Equal(<-done, 3<<20)
}

// Guards against upstreams that continue to work for a caller that disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for _, request := range []string{"GET /look", "POST /book"} {
		is := is.New(t)
		up := newRecorder(t, "a", "near", neverRespond)
		w := newHarness(t, up)
		conn := w.sendRaw(t, request, "", "")
		eventually(t, "the upstream has the request", func() bool { return len(up.seen) == 1 }, &up.mu)
		is.NoErr(conn.Close())
		eventually(t, "the attempt is cancelled", func() bool { return w.reports[ResultCancelled] == 1 }, &w.mu)
	}
}

// Guards against a caller that does not read and keeps its connection beyond the write
// timeout or the deadline of the route, and against attributing that to the upstream.
func TestStalledCallerIsDisconnected(t *testing.T) {
	for path, stall := range map[string]time.Duration{"/look": 50 * time.Millisecond, "/short": time.Minute} {
		w := newHarness(t, newRecorder(t, "a", "near", streamUntilGone))
		w.handler.cfg.Limits.WriteTimeout = stall
		w.sendRaw(t, "GET "+path, "", "")
		eventually(t, "the response is aborted", func() bool {
			return len(w.ended) == 1 && w.ended[0].Aborted && w.reports[ResultCancelled] == 1
		}, &w.mu)
	}
}

// Guards against missing spans, a wrong parent at the upstream, and keys in spans.
func TestSpans(t *testing.T) {
	is := is.New(t)
	bad, good := newRecorder(t, "bad", "near", respondStatus(503)), newRecorder(t, "good", "near", nil)
	w := newHarness(t, bad, good)
	spans := tracetest.NewInMemoryExporter()
	w.handler.cfg.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")
	is.Equal(w.doAsAlice("GET", "/look?copy="+aliceKey, "", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").body, "good")
	is.Equal(w.doAsAlice("GET", "/look?api_key="+aliceKey, "").status, 400)
	eventually(t, "all spans ended", func() bool { return len(spans.GetSpans()) == 4 }, &w.mu)
	got := spans.GetSpans()
	server := got[2]
	is.Equal(server.Name, "forward")
	is.True(!server.Parent.IsValid()) // trace ids of callers are not trusted
	for i, up := range []*recorder{bad, good} {
		is.Equal(got[i].Name, "attempt")
		is.Equal(got[i].Parent.SpanID(), server.SpanContext.SpanID())
		is.True(strings.Contains(up.seen[0], "Traceparent: 00-"+got[i].SpanContext.TraceID().String()+"-"+got[i].SpanContext.SpanID().String()))
	}
	is.True(!strings.Contains(fmt.Sprintf("%+v", got), aliceKey))
}
