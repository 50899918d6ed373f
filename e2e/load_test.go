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

// recordsInterval spaces out reads of the records, which are large.
const recordsInterval = 200 * time.Millisecond

// load is callers that send requests in the background.
type load struct {
	t       *testing.T
	stop    context.CancelFunc
	done    chan struct{}
	summary caller.Summary
	err     error
}

// startLoad sends requests of customers, which have demonstration keys, until
// it is stopped. The callers use look-ups as docs/callers.md says.
func (in *installation) startLoad(rates map[string]float64, change func(*caller.Config)) *load {
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
	l := &load{t: in.t, stop: cancel, done: make(chan struct{})}
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

// end stops the load and returns its summary. Wrong answers fail the test.
func (l *load) end() caller.Summary {
	l.t.Helper()
	l.stop()
	<-l.done
	if l.err != nil {
		l.t.Fatalf("load: %v: %v", l.err, l.summary.WrongExamples)
	}
	return l.summary
}

// awaitMore waits until the upstreams have started more requests of a path.
func (in *installation) awaitMore(prefix string, more int) {
	in.t.Helper()
	before := sum(in.started(byPath(prefix)))
	eventually(in.t, "more requests run", func() bool {
		time.Sleep(recordsInterval)
		return sum(in.started(byPath(prefix))) >= before+more
	})
}
