package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/memlimit"
	"pistachiomount.example/pistachiomount/plan"
)

var testUpstreamNames = egress.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Customer: "X-Customer", ExpectedUpstream: "X-Expected", NotRun: "X-Not-Run", Signature: "X-Signature", Load: "X-Load",
	Announced: announce.HeaderNames{RateLimit: "X-Limit", Leaving: "X-Leaving"},
}

// fakeUpstreams are upstreams that share one handler and count the requests.
type fakeUpstreams struct {
	list []inventory.Upstream
	sent atomic.Int32
}

// newFakeUpstreams starts n upstreams; behave gets the number of the request.
func newFakeUpstreams(t *testing.T, n int, behave func(n int, w http.ResponseWriter, r *http.Request)) *fakeUpstreams {
	t.Helper()
	f := &fakeUpstreams{}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Signature", "s")
			behave(int(f.sent.Add(1)), w, r)
		})}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		f.list = append(f.list, inventory.Upstream{
			ID: fmt.Sprint("u", i), Service: "s", Region: "r", FailureDomain: "d", State: inventory.Live, Slots: 4,
			Address: netip.MustParseAddrPort(listener.Addr().String()),
		})
	}
	return f
}

func newTestRequest(t *testing.T, f *fakeUpstreams, idempotent bool) *routedRequest {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &Gateway{
		requests: newRequestLog(log), tracer: noop.NewTracerProvider().Tracer(""),
		cfg: Config{Log: log, Headers: HeaderNames{RequestID: "X-Id"}}, pool: egress.NewPool(testUpstreamNames, memlimit.NewBudget(DefaultBufferMemory)), latencies: newLatencyAverages(),
	}
	t.Cleanup(g.pool.Close)
	s := newService("s", placement.Location{Region: "r", FailureDomain: "d", VM: "v"}, placement.NewShiftLimiter(time.Now(), "a", "r"),
		budget.Limits{Ratio: 0.2, Window: time.Second, Slack: 10})
	s.permits.withTable(func(now time.Time, table *placement.Table) { table.SetUpstreams(now, f.list, true) })
	var err error
	if g.metrics, err = newRequestMetrics(nil, g); err != nil {
		t.Fatal(err)
	}
	return &routedRequest{
		placeableSince: time.Now(), gateway: g, service: s, deadline: time.Now().Add(2 * time.Second),
		route: &plan.Route{Name: "r1", Idempotent: idempotent, MaxAttempts: 2, Target: 400 * time.Millisecond},
		request: &ingress.Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, Received: time.Now(),
		},
	}
}

// fixedKnowledge is that of a VM that was never paused, or that resumes and learns nothing.
type fixedKnowledge struct{ current bool }

func (k fixedKnowledge) Current() (run uint64, ok bool) { return 0, k.current }

func (k fixedKnowledge) Await(context.Context, time.Time) (run uint64, ok bool) { return 0, k.current }

func (k fixedKnowledge) AwaitLists(context.Context) {}

func closeConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against retrying a request that is not idempotent, or rejecting it as not run, after its
// connection broke.
func TestARequestThatMayHaveRunIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 3, func(_ int, w http.ResponseWriter, _ *http.Request) { closeConn(w) })
	response := newTestRequest(t, f, false).run(context.Background())
	is.Equal(response.Status, http.StatusBadGateway)
	is.Equal(response.Header.Get("Retry-After"), "")
	is.Equal(f.sent.Load(), int32(1))
}

// Guards against failing an idempotent request after one lost answer, and against sending it to more
// upstreams than its route allows.
func TestAnIdempotentRequestIsRetriedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			closeConn(w)
		}
	})
	is.Equal(newTestRequest(t, f, true).run(context.Background()).Status, http.StatusOK)
	is.Equal(f.sent.Load(), int32(2))

	f = newFakeUpstreams(t, 3, func(_ int, w http.ResponseWriter, _ *http.Request) { closeConn(w) })
	is.Equal(newTestRequest(t, f, true).run(context.Background()).Status, http.StatusBadGateway)
	is.Equal(f.sent.Load(), int32(2))
}

// Guards against a process that was paused and then sends requests under a key, route or rate that ran
// out meanwhile, and against a retry after the key was revoked.
func TestRequestIsNotSentWithAnExpiredPermission(t *testing.T) {
	for _, c := range []struct {
		name                      string
		pause                     time.Duration
		rated, revoked, afterSend bool
		status                    int
	}{
		{name: "no pause", rated: true, revoked: true, status: http.StatusOK},
		{name: "pause", pause: 5 * time.Second, status: http.StatusOK},
		{name: "rate ran out", pause: 5 * time.Second, rated: true, status: http.StatusServiceUnavailable},
		{name: "key revoked", pause: 5 * time.Second, revoked: true, status: http.StatusServiceUnavailable},
		{name: "retry", pause: 5 * time.Second, rated: true, afterSend: true, status: http.StatusOK},
		{name: "retry, key revoked", pause: 5 * time.Second, rated: true, revoked: true, afterSend: true, status: http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			manual := &clock.Manual{}
			f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
				if c.afterSend && n == 1 {
					manual.Advance(c.pause)
					closeConn(w)
				}
			})
			r := newTestRequest(t, f, true)
			r.permission = permission{
				clock: manual, checkedAt: manual.Now(), rated: c.rated, stillAllowed: func() bool { return !c.revoked },
				knowledge: fixedKnowledge{current: true},
			}
			if !c.afterSend {
				manual.Advance(c.pause)
			}
			response := r.run(context.Background())
			is.Equal(response.Status, c.status)
			is.Equal(f.sent.Load() > 0, c.status == http.StatusOK || c.afterSend) // a 503 says not run
		})
	}
}

// Guards against a rejection by one upstream ending a request that another one could run, whether the
// request is idempotent or not.
func TestARejectedRequestIsSentToAnotherUpstream(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		is.Equal(newTestRequest(t, f, idempotent).run(context.Background()).Status, http.StatusOK)
		is.Equal(f.sent.Load(), int32(2))
	}
}

// Guards against a rejection without Retry-After when nothing has run.
func TestARequestWithoutCapacityIsRejectedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 1, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response := newTestRequest(t, f, false).run(context.Background())
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// Guards against replacing a response of the upstream, including an error status.
func TestTheUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 2, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "own")
	})
	response := newTestRequest(t, f, true).run(context.Background())
	is.Equal(response.Status, http.StatusTeapot)
	is.Equal(string(response.Body), "own")
	is.Equal(response.Header.Get("X-Signature"), "s")
}

// Guards against unreachable upstreams using up the attempts of a request that was sent to none.
func TestUnreachableUpstreamsDoNotCountAsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 4, func(int, http.ResponseWriter, *http.Request) {})
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		f.list[i].Address = netip.MustParseAddrPort(listener.Addr().String())
		_ = listener.Close()
	}
	is.Equal(newTestRequest(t, f, false).run(context.Background()).Status, http.StatusOK)
	is.Equal(f.sent.Load(), int32(1))
}

// Guards against shares of a split route that are only met on average over many requests.
func TestSplitRoutesFollowTheirWeightsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newTrafficSplitter()
	route := &plan.Route{Name: "r", Split: []plan.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 20 {
		counts[s.choose(route)]++
	}
	is.Equal(counts, map[string]int{"a": 18, "b": 2})
}

// Guards against allowing regions that only the route or only the customer allows.
func TestRegionsOfRouteAndCustomerBothApply(t *testing.T) {
	is := is.New(t)
	is.Equal(intersectRegions([]string{"a", "b"}, []string{"b", "c"}), []string{"b"})
	is.Equal(intersectRegions(nil, []string{"b"}), []string{"b"})
	is.Equal(len(intersectRegions(nil, nil)), 0)
	is.Equal(intersectRegions([]string{"a"}, []string{"b"}), []string{noRegion})
}
