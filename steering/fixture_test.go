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

// lockedRand is a reproducible source for tests.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.PCG
}

func (l *lockedRand) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint64()
}

// fixture is a Steerer for service "records" with n upstreams in each region.
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

func (r *fixture) set(t testing.TB, rules ...steering.Rule) {
	if err := r.s.SetConfig(steering.Config{Regions: simRegions, Rules: rules}); err != nil {
		t.Fatal(err)
	}
}

func (r *fixture) list(t testing.TB) {
	if err := r.s.SetUpstreams(r.upstreams); err != nil {
		t.Fatal(err)
	}
}

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

// target picks until the upstream with the given ID comes up.
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

// counts picks n times without load and returns how often each upstream came up.
func (r *fixture) counts(t testing.TB, region string, n int) map[string]int {
	out := make(map[string]int)
	for range n {
		if target, ok := r.pool(t, region).Pick(nil); ok {
			out[target.Upstream().ID]++
		}
	}
	return out
}

func finish(target *steering.Target, result steering.Result, latency time.Duration) {
	target.Begin()
	target.Finish(steering.Outcome{Result: result, Latency: latency})
}

// serve sends n idempotent requests without retries and returns how many went to
// each region. result tells how the i-th ends.
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
