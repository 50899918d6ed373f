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

	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
)

var testUpstreamNames = egress.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Customer: "X-Customer", ExpectedUpstream: "X-Expected", NotRun: "X-Not-Run", Signature: "X-Signature", Load: "X-Load",
}

// fakeUpstreams are upstreams that share one behaviour and count what they ran.
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

func testAttempt(t *testing.T, f *fakeUpstreams, idempotent bool) *attempt {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &Gateway{
		requests: newRequestLog(log), tracer: noop.NewTracerProvider().Tracer(""),
		cfg: Config{Log: log, Headers: HeaderNames{RequestID: "X-Id"}}, pool: egress.NewPool(testUpstreamNames), usual: newUsual(),
	}
	t.Cleanup(g.pool.Close)
	s := newService("s", placement.Location{Region: "r", FailureDomain: "d", VM: "v"}, placement.NewShiftLimiter(time.Now(), "r"),
		budget.Limits{Ratio: 0.2, Window: time.Second, Slack: 10})
	s.turns.with(func(now time.Time, table *placement.Table) { table.SetUpstreams(now, f.list, true) })
	var err error
	if g.observer, err = newObserver(nil, g); err != nil {
		t.Fatal(err)
	}
	return &attempt{
		gateway: g, service: s, deadline: time.Now().Add(2 * time.Second),
		route: &plan.Route{Name: "r1", Idempotent: idempotent, MaxAttempts: 2, Target: 400 * time.Millisecond},
		request: &ingress.Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}}, Received: time.Now(),
		},
	}
}

func breakOff(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against a request that may not be repeated being sent again, or being
// refused as not run, after its connection broke.
func TestARequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 3, func(_ int, w http.ResponseWriter, _ *http.Request) { breakOff(w) })
	response := testAttempt(t, f, false).run(context.Background())
	is.Equal(response.Status, http.StatusBadGateway)
	is.Equal(response.Header.Get("Retry-After"), "")
	is.Equal(f.sent.Load(), int32(1))
}

// Guards against an idempotent request that is given up after one lost answer, and
// against one that is sent to more upstreams than its route allows.
func TestAnIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			breakOff(w)
		}
	})
	is.Equal(testAttempt(t, f, true).run(context.Background()).Status, http.StatusOK)
	is.Equal(f.sent.Load(), int32(2))

	f = newFakeUpstreams(t, 3, func(_ int, w http.ResponseWriter, _ *http.Request) { breakOff(w) })
	is.Equal(testAttempt(t, f, true).run(context.Background()).Status, http.StatusBadGateway)
	is.Equal(f.sent.Load(), int32(2))
}

// Guards against a refusal by one upstream that ends a request which another one
// could run, whether it may be repeated or not.
func TestARefusedRequestIsOfferedToAnotherUpstream(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		f := newFakeUpstreams(t, 3, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		is.Equal(testAttempt(t, f, idempotent).run(context.Background()).Status, http.StatusOK)
		is.Equal(f.sent.Load(), int32(2))
	}
}

// Guards against a refusal without a time to come back when nothing has run.
func TestARequestWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 1, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response := testAttempt(t, f, false).run(context.Background())
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// Guards against an answer of the upstream, also a failure, that is replaced.
func TestTheUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 2, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "own")
	})
	response := testAttempt(t, f, true).run(context.Background())
	is.Equal(response.Status, http.StatusTeapot)
	is.Equal(string(response.Body), "own")
	is.Equal(response.Header.Get("X-Signature"), "s")
}

// Guards against upstreams that cannot be reached using up the attempts of a request
// that was sent to none.
func TestUnreachableUpstreamsDoNotCountAsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFakeUpstreams(t, 4, func(int, http.ResponseWriter, *http.Request) {})
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		f.list[i].Address = netip.MustParseAddrPort(listener.Addr().String())
		_ = listener.Close()
	}
	is.Equal(testAttempt(t, f, false).run(context.Background()).Status, http.StatusOK)
	is.Equal(f.sent.Load(), int32(1))
}

// Guards against the share of a split route that depends on chance.
func TestSplitRoutesFollowTheirWeightsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSplitter()
	route := &plan.Route{Name: "r", Split: []plan.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 20 {
		counts[s.choose(route)]++
	}
	is.Equal(counts, map[string]int{"a": 18, "b": 2})
}

// Guards against regions that are allowed because the route or the customer alone
// allows them.
func TestRegionsOfRouteAndCustomerBothBind(t *testing.T) {
	is := is.New(t)
	is.Equal(both([]string{"a", "b"}, []string{"b", "c"}), []string{"b"})
	is.Equal(both(nil, []string{"b"}), []string{"b"})
	is.Equal(len(both(nil, nil)), 0)
	is.Equal(both([]string{"a"}, []string{"b"}), []string{noRegion})
}
