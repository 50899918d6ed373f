package e2e_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/caller"
	"pistachiomount.example/pistachiomount/clock"
)

// recordsInterval is the pause between reads of the records, which are large.
const recordsInterval = 200 * time.Millisecond

// backgroundLoad is a set of callers that send requests in the background.
type backgroundLoad struct {
	t       *testing.T
	stop    context.CancelFunc
	done    chan struct{}
	summary caller.Summary
	err     error
}

// startLoad sends requests of customers with demonstration keys until it is
// stopped. The callers use lookups as docs/callers.md describes.
func (in *installation) startLoad(rates map[string]float64, change func(*caller.Config)) *backgroundLoad {
	in.t.Helper()
	config := caller.Config{
		Service: "records", Method: http.MethodGet, Path: "/records", Idempotent: true,
		Duration: time.Hour, Timeout: 10 * time.Second, MaxInFlight: 500, Clock: clock.NewSystem(),
	}
	for _, e := range in.entries {
		if !e.ended() {
			config.EntryVMs = append(config.EntryVMs, netip.MustParseAddrPort(e.address("callers")))
		}
	}
	for name, rate := range rates {
		config.Customers = append(config.Customers, caller.Customer{Name: name, Key: "demo-key-" + name, Rate: rate})
	}
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithCancel(in.t.Context())
	l := &backgroundLoad{t: in.t, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.summary, l.err = caller.Run(ctx, config)
	}()
	in.t.Cleanup(func() {
		cancel()
		<-l.done
	})
	return l
}

// end stops the load and returns its summary. Wrong responses fail the test.
func (l *backgroundLoad) end() caller.Summary {
	l.t.Helper()
	l.stop()
	<-l.done
	if l.err != nil {
		l.t.Fatalf("load: %v: %v", l.err, l.summary.WrongExamples)
	}
	return l.summary
}

// awaitMoreRequests waits until the upstreams have started more requests with a path prefix.
func (in *installation) awaitMoreRequests(prefix string, more int) {
	in.t.Helper()
	before := sum(in.startCounts(byPath(prefix)))
	eventually(in.t, "more requests run", func() bool {
		time.Sleep(recordsInterval)
		return sum(in.startCounts(byPath(prefix))) >= before+more
	})
}
