package steering_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/steering"
)

const (
	simTimeout    = 500 * time.Millisecond
	simAttempts   = 3
	stallDuration = 300 * time.Millisecond
)

// event is an action at a virtual time.
type event struct {
	at time.Duration
	do func()
}

// requestSim serves requests by two regions of five upstreams each in virtual time.
type requestSim struct {
	now       time.Duration
	queue     []event // ordered by time
	rng       *rand.Rand
	free      map[string][]time.Duration // time at which each slot of an upstream becomes free
	slow      string                     // ID of the slow upstream
	lost      string                     // names of unreachable regions
	stalls    float64                    // fraction of the responses that take stallDuration longer
	latencies []time.Duration
	attempts  int
	failed    int
}

func newRequestSim() *requestSim {
	return &requestSim{rng: rand.New(rand.NewPCG(3, 5)), free: make(map[string][]time.Duration)}
}

// at schedules an action.
func (s *requestSim) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.queue, t, func(e event, t time.Duration) int { return cmp.Compare(e.at, t) })
	s.queue = slices.Insert(s.queue, i, event{t, do})
}

// run executes the events up to the given time.
func (s *requestSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.do()
	}
}

// serve returns the time at which an upstream answers a request that arrives now. In
// an unreachable region that is always after the timeout.
func (s *requestSim) serve(id string) time.Duration {
	s.attempts++
	if strings.Contains(s.lost, id[:1]) {
		return s.now + time.Hour
	}
	if s.free[id] == nil {
		s.free[id] = make([]time.Duration, 6)
	}
	mean := 10 * time.Millisecond
	if id == s.slow {
		mean *= 30
	}
	slots := s.free[id]
	i := slices.Index(slots, slices.Min(slots))
	slots[i] = max(s.now, slots[i]) + time.Duration((0.5+0.5*s.rng.ExpFloat64())*float64(mean))
	if s.rng.Float64() < s.stalls {
		return slots[i] + stallDuration
	}
	return slots[i]
}

// arrivals calls start at random times, rate times per second on average, until end.
func (s *requestSim) arrivals(rate float64, end time.Duration, start func()) {
	var next func()
	next = func() {
		start()
		if gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)); s.now+gap < end {
			s.at(s.now+gap, next)
		}
	}
	s.at(0, next)
}

func (s *requestSim) quantile(q float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(q*float64(len(s.latencies)-1))]
}

// sendRandom sends a request to a random upstream, with the timeout and number of
// attempts of steered requests but without hedging.
func (s *requestSim) sendRandom(begin time.Duration, attempt int) {
	id := string("ab"[s.rng.IntN(2)]) + string('0'+rune(s.rng.IntN(5)))
	done := s.serve(id)
	if done-s.now <= simTimeout || attempt == simAttempts {
		s.latencies = append(s.latencies, min(done, s.now+simTimeout)-begin)
		if done-s.now > simTimeout {
			s.failed++
		}
		return
	}
	s.at(s.now+simTimeout, func() { s.sendRandom(begin, attempt+1) })
}

// steeredRequest is a request that uses the package as the request path does.
type steeredRequest struct {
	*requestSim
	s        *steering.Steerer
	budget   *steering.RetryBudget
	begin    time.Duration
	excluded steering.Exclusion
	done     bool
	started  int
	pending  int
}

func (r *steeredRequest) attempt() {
	order, _ := r.s.ChooseRegions(steering.Request{Service: "records", Idempotent: true})
	for p, ok := order.Next(); ok; p, ok = order.Next() {
		if target, ok := p.Pick(&r.excluded); ok {
			r.send(p, target)
			return
		}
	}
	r.failed++
	r.complete()
}

func (r *steeredRequest) send(p *steering.Pool, target *steering.Target) {
	r.started++
	r.pending++
	r.excluded.Add(target)
	target.Begin()
	begin, answer := r.now, r.serve(target.Upstream().ID)
	r.at(min(answer, begin+simTimeout), func() {
		r.pending--
		switch {
		case r.done:
			target.Finish(steering.Outcome{Result: steering.Cancelled, Latency: r.now - begin})
		case answer <= r.now:
			target.Finish(steering.Outcome{Result: steering.Success, Latency: r.now - begin})
			r.complete()
		default:
			target.Finish(steering.Outcome{Result: steering.Failure, Latency: simTimeout})
			if !r.retry() && r.pending == 0 {
				r.failed++
				r.complete()
			}
		}
	})
	if delay, ok := p.HedgeDelay(); ok {
		r.at(begin+delay, func() { r.retry() })
	}
}

// retry starts a retry or hedge if the attempts and the budget permit it.
func (r *steeredRequest) retry() bool {
	if r.done || r.started == simAttempts || !r.budget.TryRetry() {
		return false
	}
	r.attempt()
	return true
}

func (r *steeredRequest) complete() {
	if !r.done {
		r.done = true
		r.latencies = append(r.latencies, r.now-r.begin)
	}
}

// simulate runs random choice and steering against the same faults.
func simulate(t *testing.T, rate float64, end time.Duration, injectFaults func(*requestSim)) (random, steered *requestSim) {
	random = newRequestSim()
	injectFaults(random)
	random.arrivals(rate, end, func() { random.sendRandom(random.now, 1) })
	random.run(2 * end)

	steered = newRequestSim()
	injectFaults(steered)
	r := newFixture(t, 5, 50, 50)
	budget, _ := r.s.RetryBudget("records")
	for at := simStep; at < 2*end; at += simStep {
		steered.at(at, func() { r.advance(simStep) })
	}
	steered.arrivals(rate, end, func() {
		budget.RecordRequest()
		(&steeredRequest{requestSim: steered, s: r.s, budget: budget, begin: steered.now}).attempt()
	})
	steered.run(2 * end)
	return random, steered
}

// Guards against losing the benefit over random choice without hedging when one
// upstream is slow throughout and one region is unreachable for the last third.
func TestTailLatencyAgainstRandomChoice(t *testing.T) {
	is := is.New(t)
	const end = 30 * time.Second
	random, steered := simulate(t, 400, end, func(s *requestSim) {
		s.slow = "a1"
		s.at(end*2/3, func() { s.lost = "b" })
	})
	for _, q := range []float64{0.5, 0.99, 0.999} {
		t.Logf("p%v: random %v, steered %v", 100*q, random.quantile(q), steered.quantile(q))
	}
	t.Logf("failed: random %d of %d, steered %d of %d", random.failed, len(random.latencies), steered.failed, len(steered.latencies))
	is.True(len(steered.latencies) > 11_000)
	is.True(steered.quantile(0.5) <= random.quantile(0.5)*11/10)
	is.True(steered.quantile(0.99) <= random.quantile(0.99)/4)
	is.True(steered.quantile(0.999) <= random.quantile(0.999)/2)
	is.True(steered.failed <= random.failed/10)
	is.True(float64(steered.attempts) <= 1.12*float64(len(steered.latencies)))
}

// Guards against hedges that do not shorten rare stalls or that exceed their budget.
func TestHedgesShortenStalls(t *testing.T) {
	is := is.New(t)
	random, steered := simulate(t, 300, 30*time.Second, func(s *requestSim) { s.stalls = 0.01 })
	t.Logf("p99.5: random %v, steered %v", random.quantile(0.995), steered.quantile(0.995))
	is.True(steered.quantile(0.995) <= random.quantile(0.995)/3)
	is.True(float64(steered.attempts) <= 1.12*float64(len(steered.latencies)))
	is.Equal(steered.failed, 0)
}

// Guards against retries and hedges that multiply the load when all upstreams fail,
// and against requests that never end.
func TestAttemptsAreBoundedWhenAllFail(t *testing.T) {
	is := is.New(t)
	_, steered := simulate(t, 300, 20*time.Second, func(s *requestSim) { s.lost = "ab" })
	requests := len(steered.latencies)
	is.True(requests > 5000)
	is.Equal(steered.failed, requests)
	is.True(steered.attempts <= requests+requests/10+20)
}
