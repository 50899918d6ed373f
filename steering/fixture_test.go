package steering_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/steering"
)

// lockedRand is a reproducible random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.PCG
}

func (l *lockedRand) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint64()
}

// fixture holds a Steerer for the service "records" with n upstreams in each region.
type fixture struct {
	clk       clock.Manual
	s         *steering.Steerer
	upstreams []steering.Upstream
}

func weights(percent ...float64) []steering.Weight {
	var out []steering.Weight
	for i, p := range percent {
		out = append(out, steering.Weight{Region: simRegions[i], Percent: p})
	}
	return out
}

func newFixture(t testing.TB, n int, percent ...float64) *fixture {
	r := &fixture{}
	r.s = steering.New(&r.clk, &lockedRand{rng: rand.NewPCG(7, 11)})
	r.set(t, steering.Rule{Service: "records", Weights: weights(percent...)})
	for _, region := range simRegions[:len(percent)] {
		for i := range n {
			r.upstreams = append(r.upstreams, steering.Upstream{
				ID: fmt.Sprintf("%s%d", region, i), Service: "records", Region: region,
				Address: "127.0.0.1:1", Slots: 6,
			})
		}
	}
	r.list(t)
	r.advance(time.Second)
	return r
}

// set applies a configuration with the given rules.
func (r *fixture) set(t testing.TB, rules ...steering.Rule) {
	if err := r.s.SetConfig(steering.Config{Regions: simRegions, Rules: rules}); err != nil {
		t.Fatal(err)
	}
}

// list applies the upstream list.
func (r *fixture) list(t testing.TB) {
	if err := r.s.SetUpstreams(r.upstreams); err != nil {
		t.Fatal(err)
	}
}

// advance moves the clock and ticks the Steerer.
func (r *fixture) advance(d time.Duration) {
	for range int(d / simStep) {
		r.clk.Advance(simStep)
		r.s.Tick()
	}
}

func (r *fixture) pool(t testing.TB, region string) *steering.Pool {
	p, ok := r.s.Pool("records", region)
	if !ok {
		t.Fatalf("no pool in %s", region)
	}
	return p
}

// target picks until it gets the upstream with the given ID.
func (r *fixture) target(t testing.TB, id string) *steering.Target {
	p := r.pool(t, id[:1])
	for range 10_000 {
		if target, ok := p.Pick(nil); ok && target.Upstream().ID == id {
			return target
		}
	}
	t.Fatalf("%s is never picked", id)
	return nil
}

// counts picks n times without load and returns how often each upstream was picked.
func (r *fixture) counts(t testing.TB, region string, n int) map[string]int {
	out := make(map[string]int)
	for range n {
		if target, ok := r.pool(t, region).Pick(nil); ok {
			out[target.Upstream().ID]++
		}
	}
	return out
}

// finish runs one attempt on target with the given outcome.
func finish(target *steering.Target, result steering.Result, latency time.Duration) {
	target.Begin()
	target.Finish(steering.Outcome{Result: result, Latency: latency})
}

// serve sends n idempotent requests without retries and returns how many went to each
// region. result returns the result of the i-th request.
func (r *fixture) serve(t testing.TB, n int, result func(region string, i int) steering.Result) map[string]int {
	sent := make(map[string]int)
	for i := range n {
		target := chooseAndPick(r.s, steering.Request{Service: "records", Idempotent: true})
		if target == nil {
			t.Fatal("no upstream")
		}
		region := target.Upstream().Region
		sent[region]++
		finish(target, result(region, i), time.Millisecond)
	}
	return sent
}

func alwaysSucceed(string, int) steering.Result { return steering.Success }
