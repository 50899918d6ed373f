package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"pistachiomount.example/pistachiomount/caller"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// entryVM serves lookups with a list of addresses and passes other requests to next.
type entryVM struct {
	address            netip.AddrPort
	addresses          atomic.Pointer[[]netip.AddrPort]
	lookups, forwarded atomic.Int64
	next               http.Handler
}

func startEntryVM(t *testing.T, next http.Handler) *entryVM {
	t.Helper()
	vm := &entryVM{next: next}
	server := httptest.NewServer(vm)
	t.Cleanup(server.Close)
	vm.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	vm.addresses.Store(&[]netip.AddrPort{vm.address})
	return vm
}

func (v *entryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/lookup" {
		v.forwarded.Add(1)
		v.next.ServeHTTP(w, r)
		return
	}
	v.lookups.Add(1)
	type entry struct {
		Address netip.AddrPort `json:"address"`
	}
	response := struct {
		TTLMS    int     `json:"ttl_ms"`
		EntryVMs []entry `json:"entry_vms"`
	}{TTLMS: 5000}
	for _, address := range *v.addresses.Load() {
		response.EntryVMs = append(response.EntryVMs, entry{address})
	}
	_ = json.NewEncoder(w).Encode(response)
}

// newForwardingHandler returns a handler that forwards requests to a stand-in upstream,
// as the gateway does: it derives the customer from the key and sets the request id.
func newForwardingHandler(t *testing.T) (http.Handler, *standin.Upstream) {
	t.Helper()
	upstream, err := standin.NewUpstream(standin.UpstreamConfig{ID: "u-1", Slots: 100, Secrets: []string{"key-of-"}})
	is.New(t).NoErr(err)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("X-Customer", strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer key-of-"))
		r.Header.Del("Authorization")
		r.Header.Set("X-Request-Id", "id-of-"+r.URL.Path)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		upstream.ServeHTTP(w, r)
	}), upstream
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// closedAddress returns an address that refuses connections while the test runs.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	upstream, err := standin.NewUpstream(standin.UpstreamConfig{})
	is.NoErr(err)
	logger, _ := test.NewNullLogger()
	server, err := standin.StartUpstream(upstream, settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}, logger)
	is.NoErr(err)
	t.Cleanup(server.Close)
	is.NoErr(upstream.SetBehaviour(standin.Behaviour{Mode: standin.ModeRefuse}))
	return server.Address()
}

func config(vm *entryVM) caller.Config {
	return caller.Config{
		EntryVMs: []netip.AddrPort{vm.address}, Service: "records", Method: "GET", Path: "/records", Idempotent: true,
		Customers: []caller.Customer{{Name: "sol", Key: "key-of-sol", Rate: 1e5}, {Name: "luna", Key: "key-of-luna", Rate: 1e5}},
		Duration:  time.Hour, Requests: 25, Timeout: time.Minute, MaxInFlight: 1000, Clock: &clock.Manual{},
	}
}

func TestRunCountsCompleteResponses(t *testing.T) {
	is := is.New(t)
	handler, upstream := newForwardingHandler(t)
	vm := startEntryVM(t, handler)
	c := config(vm)
	c.Method, c.Idempotent, c.BodyBytes, c.AnswerBytes, c.IdempotencyKeys = "POST", false, 100, 2000, true
	summary, err := caller.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(summary.Requests, 50)
	is.Equal(summary.OK, 50)
	is.Equal(summary.Statuses, map[string]int{"200": 50})
	is.Equal(summary.Customers["luna"].OK, 25)
	is.Equal(summary.Lookups, int64(1))
	record := upstream.Record()
	is.Equal(len(record.Requests), 50) // each request has a unique path and idempotency key
	is.True(!record.SecretSeen)
}

// Guards against counting a response to another request as a success.
func TestMismatchedResponsesAreCounted(t *testing.T) {
	is := is.New(t)
	handler, _ := newForwardingHandler(t)
	swapped := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "sol") {
			r.Header.Set("Authorization", "Bearer key-of-luna")
		} else {
			r.URL.Path += "0"
		}
		handler.ServeHTTP(w, r)
	})
	summary, err := caller.Run(context.Background(), config(startEntryVM(t, swapped)))
	is.True(errors.Is(err, caller.ErrMismatchedResponses))
	is.Equal(summary.Wrong, 50)
	is.Equal(summary.OK, 0)
	is.Equal(len(summary.WrongExamples), 10)
}

func TestRejectionsByReason(t *testing.T) {
	is := is.New(t)
	vm := startEntryVM(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"reason":"over_rate","run":"not_run"}}`))
	}))
	summary, err := caller.Run(context.Background(), config(vm))
	is.NoErr(err)
	is.Equal(summary.Rejections, map[string]int{"over_rate": 50})
	is.Equal(summary.RejectionsByRun, map[string]int{"not_run": 50})
	is.Equal(summary.OK, 0)
}

// Guards against a caller that fails, or sends a request twice, if a VM is unreachable.
func TestNextVMIsUsedIfNothingWasSent(t *testing.T) {
	is := is.New(t)
	handler, upstream := newForwardingHandler(t)
	vm := startEntryVM(t, handler)
	vm.addresses.Store(&[]netip.AddrPort{closedAddress(t), vm.address})
	c := config(vm)
	c.Method, c.Idempotent = "POST", false
	summary, err := caller.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(summary.OK, 50)
	is.True(summary.ExtraAttempts > 0)
	is.Equal(upstream.Record().Totals.Started, 50)
}

// Guards against retrying a request that is not idempotent at a second VM.
func TestRetryAfterSendingRequiresIdempotentRoute(t *testing.T) {
	is := is.New(t)
	handler, upstream := newForwardingHandler(t)
	good, aborting := startEntryVM(t, handler), startEntryVM(t, http.HandlerFunc(abortConnection))
	aborting.addresses.Store(&[]netip.AddrPort{aborting.address, good.address})
	c := config(aborting)
	c.Customers, c.Requests = c.Customers[:1], 1
	summary, err := caller.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(summary.OK, 1)
	c.Method, c.Idempotent, c.BodyBytes = "POST", false, 10
	summary, err = caller.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(summary.Failures, map[string]int{"connection": 1})
	is.Equal(upstream.Record().Totals.Started, 1)
}

// Guards against a lookup per request, and against a cache that outlives its TTL.
func TestDirectoryCachesLookupsForTTL(t *testing.T) {
	is := is.New(t)
	vm := startEntryVM(t, nil)
	c := &clock.Manual{}
	transport := &http.Transport{DisableKeepAlives: true}
	d := caller.NewDirectory("records", []netip.AddrPort{closedAddress(t), vm.address}, c, transport)
	get := func() []netip.AddrPort {
		ranked, err := d.EntryVMs(context.Background())
		is.NoErr(err)
		return ranked
	}
	get()
	c.Advance(4 * time.Second)
	get()
	is.Equal(vm.lookups.Load(), int64(1))
	other := closedAddress(t)
	vm.addresses.Store(&[]netip.AddrPort{other})
	c.Advance(2 * time.Second)
	is.Equal(get(), []netip.AddrPort{other})
	is.Equal(vm.lookups.Load(), int64(2))
	d.MarkFailed(other)
	get()
	is.Equal(vm.lookups.Load(), int64(3))
	unreachable := caller.NewDirectory("records", []netip.AddrPort{closedAddress(t)}, c, transport)
	_, err := unreachable.EntryVMs(context.Background())
	is.True(errors.Is(err, caller.ErrLookupFailed))
}

func TestRunRejectsInvalidConfig(t *testing.T) {
	is := is.New(t)
	c := config(&entryVM{})
	c.Customers[0].Rate = 0
	_, err := caller.Run(context.Background(), c)
	is.True(errors.Is(err, caller.ErrInvalidConfig))
	c = config(&entryVM{})
	c.AnswerBytes = 100
	_, err = caller.Run(context.Background(), c)
	is.True(errors.Is(err, caller.ErrInvalidConfig))
}
