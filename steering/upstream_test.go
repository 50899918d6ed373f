package steering_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/steering"
)

// Guards against new requests to an upstream that announced that it is leaving, and
// against its return because the platform's late list still shows it as live.
func TestLeavingInBand(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	target := r.target(t, "a1")
	finish(target, steering.Draining, 0)
	is.Equal(r.counts(t, "a", 1000)["a1"], 0)
	r.list(t)
	r.advance(30 * time.Second)
	is.Equal(r.counts(t, "a", 1000)["a1"], 0)
	is.Equal(len(r.s.ProbesDue()), 0)
	target.RecordProbe(true) // too early to count
	is.True(target.Leaving())

	r.upstreams[1].State = steering.UpstreamLeaving
	r.list(t)
	r.upstreams[1].State = steering.UpstreamLive
	r.list(t)
	is.True(!target.Leaving())
	r.advance(11 * time.Second)
	is.True(r.counts(t, "a", 1000)["a1"] > 200)
}

// Guards against an upstream that never returns because the platform's list missed its
// short absence, and against one that returns without a successful probe.
func TestReturnByProbe(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	target := r.target(t, "a1")
	finish(target, steering.Draining, 0)
	r.advance(61 * time.Second)
	due := r.s.ProbesDue()
	is.Equal(len(due), 1)
	is.Equal(len(r.s.ProbesDue()), 0) // one probe per interval
	due[0].RecordProbe(false)
	is.True(target.Leaving())
	r.advance(11 * time.Second)
	r.s.ProbesDue()[0].RecordProbe(true)
	is.True(!target.Leaving())
}

// Guards against treating an upstream that returns after an absence as the one that left.
func TestReturnAfterAbsence(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	finish(r.target(t, "a1"), steering.Draining, 0)
	all := r.upstreams
	r.upstreams = []steering.Upstream{all[0], all[2]}
	r.list(t)
	r.upstreams = all
	r.list(t)
	r.advance(11 * time.Second)
	is.True(r.counts(t, "a", 1000)["a1"] > 200)
	is.True(errors.Is(r.s.SetUpstreams(nil), steering.ErrEmptyUpstreams))
	is.True(r.counts(t, "a", 1000)["a1"] > 200)
}

// Guards against treating a crash as a planned leave, and the reverse.
func TestRefusedConnections(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	target := r.target(t, "a0")
	finish(target, steering.Refused, 0)
	is.True(!target.Leaving())
	target.RecordIdleClose()
	r.advance(6 * time.Second)
	finish(target, steering.Refused, 0)
	is.True(!target.Leaving())
	target.RecordIdleClose()
	finish(target, steering.Refused, 0)
	is.True(target.Leaving())
	is.Equal(r.s.UpstreamStatuses()[0].State, steering.ServingRefusedLeaving)
	is.Equal(r.counts(t, "a", 1000)["a0"], 0)
}

// Guards against ejections that leave less than half of the upstreams in use, and
// against an upstream that is never used again, over random outcomes.
func TestAtMostHalfEjected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "upstreams")
		r := newFixture(t, n, 1)
		targets := make([]*steering.Target, n)
		for i := range targets {
			targets[i] = r.target(t, r.upstreams[i].ID)
		}
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			target := rapid.SampledFrom(targets).Draw(rt, "target")
			if rapid.IntRange(0, 30).Draw(rt, "ok") == 0 {
				finish(target, steering.Success, time.Millisecond)
			} else {
				finish(target, steering.Failure, time.Millisecond)
			}
			r.advance(time.Duration(rapid.IntRange(0, 3).Draw(rt, "ms")) * simStep)
		}
		var excluded steering.Exclusion
		for i := range (n + 1) / 2 {
			target, ok := r.pool(t, "a").Pick(&excluded)
			if !ok {
				rt.Fatalf("only %d of %d upstreams in use", i, n)
			}
			excluded.Add(target)
		}
		for range 85 { // the longest back-off is 72 s
			r.clk.Advance(time.Second)
			r.s.Tick()
		}
		if seen := len(r.counts(t, "a", 300)); seen < n {
			rt.Fatalf("only %d of %d upstreams are used again", seen, n)
		}
	})
}

// Guards against full load on a cold upstream, and against an upstream that gets no
// request while the service is idle.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	r.upstreams = append(r.upstreams, steering.Upstream{ID: "a9", Service: "records", Region: "a", Slots: 6})
	r.list(t)
	r.advance(time.Second)
	cold := r.counts(t, "a", 4000)["a9"]
	is.True(cold > 50 && cold < 300)
	r.advance(4 * time.Second)
	half := r.counts(t, "a", 4000)["a9"]
	is.True(half > cold && half < 800)
	r.advance(6 * time.Second)
	is.True(r.counts(t, "a", 4000)["a9"] > 850)
}

// Guards against an upstream that attracts all requests by reporting no load while
// requests of this VM to it are slow or fail.
func TestMisleadingReportIsOverruled(t *testing.T) {
	is := is.New(t)
	for result, latency := range map[steering.Result]time.Duration{
		steering.Success: 200 * time.Millisecond,
		steering.Failure: time.Millisecond,
	} {
		r := newFixture(t, 4, 1)
		for i, u := range r.upstreams {
			target := r.target(t, u.ID)
			for range 3 {
				if i == 0 {
					finish(target, result, latency)
				} else {
					finish(target, steering.Success, 10*time.Millisecond)
				}
			}
			r.s.ReportLoad(steering.LoadReport{UpstreamID: u.ID, InFlight: 4 * min(i, 1)})
		}
		r.advance(simStep)
		is.True(r.counts(t, "a", 1000)["a0"] < 50)
	}
}

// Guards against decisions on reports older than 5 s, and against fresh reports
// without effect.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 2, 1)
	r.s.ReportLoad(steering.LoadReport{UpstreamID: "a0", InFlight: 6, Age: time.Second})
	r.advance(simStep)
	is.Equal(r.counts(t, "a", 1000)["a0"], 0)
	r.advance(5 * time.Second)
	is.True(r.counts(t, "a", 1000)["a0"] > 400)
}

// Guards against a retry on the upstream that just failed.
func TestExclusion(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 2, 1)
	var excluded steering.Exclusion
	excluded.Add(r.target(t, "a0"))
	for range 100 {
		target, ok := r.pool(t, "a").Pick(&excluded)
		is.True(ok)
		is.Equal(target.Upstream().ID, "a1")
	}
	excluded.Add(r.target(t, "a1"))
	_, ok := r.pool(t, "a").Pick(&excluded)
	is.True(!ok)
}

// Guards against a hedge delay that is estimated from too few samples.
func TestHedgeDelayNeedsSamples(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 2, 1)
	target := r.target(t, "a0")
	observe := func(n int) {
		for i := range n {
			finish(target, steering.Success, time.Duration(i%100+1)*time.Millisecond)
		}
		r.advance(2 * time.Second)
	}
	observe(99)
	_, ok := r.pool(t, "a").HedgeDelay()
	is.True(!ok)
	observe(901)
	d, ok := r.pool(t, "a").HedgeDelay()
	is.True(ok)
	is.True(d >= 92*time.Millisecond && d <= 98*time.Millisecond)
	r.advance(2 * time.Minute) // without samples the estimate expires
	_, ok = r.pool(t, "a").HedgeDelay()
	is.True(!ok)
}

// Guards against retries that multiply the load when every upstream fails.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 4, 1)
	budget, ok := r.s.RetryBudget("records")
	is.True(ok)
	const requests, seconds = 20_000, 20
	retries := 0
	for i := range requests {
		budget.RecordRequest()
		for range 3 {
			if budget.TryRetry() {
				retries++
			}
		}
		if i%(requests/seconds/10) == 0 {
			r.advance(simStep)
		}
	}
	is.True(retries >= requests/10)
	is.True(retries <= requests/10+10+seconds/5)
	granted, rejected := budget.Counts()
	is.Equal(granted, uint64(retries))
	is.Equal(rejected, uint64(3*requests-retries))
}

// Guards against traffic to a region in which every request fails, and against a
// region that stays suspended after it recovered.
func TestLostRegionIsSuspendedAndReturns(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 4, 50, 50)
	serve := func(unreachable bool) int {
		return r.serve(t, 1000, func(region string, _ int) steering.Result {
			if unreachable && region == "a" {
				return steering.Failure
			}
			return steering.Success
		})["a"]
	}
	is.True(serve(true) <= 12) // failures until the region is suspended
	for range 20 {
		r.advance(time.Second)
		is.True(serve(true) <= 1) // one probe
	}
	is.Equal(r.s.Status()[0].Suspensions, uint64(1))
	r.advance(40 * time.Second)
	returned := serve(false)
	is.True(returned < 100) // its caches are cold
	r.advance(21 * time.Second)
	is.True(serve(false) > 400)
}

// Guards against new requests to an upstream that only fails, and against an ejection
// time that does not grow.
func TestEjectionBacksOff(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 4, 1)
	target := r.target(t, "a0")
	for range 5 {
		finish(target, steering.Rejected, time.Millisecond)
	}
	is.Equal(r.s.UpstreamStatuses()[0].State, steering.ServingEjected)
	ejectedTicks := func() (ticks int) {
		for len(r.counts(t, "a", 500)) < 4 {
			r.advance(simStep)
			ticks++
		}
		return ticks
	}
	first := ejectedTicks()
	is.True(first >= 8)
	finish(target, steering.Failure, time.Millisecond) // on probation, one failure ejects
	second := ejectedTicks()
	is.True(second >= 16 && second > first)
	is.Equal(r.s.Status()[0].Ejections, uint64(2))
}

// Guards against new requests to an upstream that the document drains, and against one
// that stays unused after its drain ended.
func TestDrainUpstream(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 3, 1)
	c := steering.Config{Regions: simRegions, Rules: []steering.Rule{{Service: "records", Weights: weights(1)}}}
	c.DrainedUpstreams = []string{"a2"}
	is.NoErr(r.s.SetConfig(c))
	is.Equal(r.counts(t, "a", 1000)["a2"], 0)
	is.Equal(r.s.Drains()[0].Upstream, "a2")
	is.Equal(r.s.UpstreamStatuses()[2].State, steering.ServingDrained)
	c.DrainedUpstreams = nil
	is.NoErr(r.s.SetConfig(c))
	r.advance(11 * time.Second)
	is.True(r.counts(t, "a", 1000)["a2"] > 200)
	is.Equal(len(r.s.Drains()), 0)
}

// Guards against a region that keeps its share although its upstreams shed load and
// report low load, and against a share that never recovers.
func TestSheddingLowersShare(t *testing.T) {
	is := is.New(t)
	r := newFixture(t, 4, 50, 50)
	req := steering.Request{Service: "records"}
	serve := func(rejectedPerTen int) {
		for range 200 {
			r.serve(t, 40, func(region string, i int) steering.Result {
				if region == "a" && i%10 < rejectedPerTen {
					return steering.Rejected
				}
				return steering.Success
			})
			for _, u := range r.upstreams {
				r.s.ReportLoad(steering.LoadReport{UpstreamID: u.ID, InFlight: 1})
			}
			for _, m := range r.s.MeasuredLoads() {
				is.Equal(m.Load, 1.0/6)
				r.s.ReportRegion(m)
			}
			r.advance(simStep)
		}
	}
	serve(3)
	is.True(share(r.s, req, "a") < 30)
	st := r.s.Status()[0]
	is.True(st.Region == "a" && st.Shedding && st.Limit < 0.5 && st.Upstreams.Eligible >= 2)
	serve(0)
	serve(0)
	is.True(share(r.s, req, "a") > 45)
}
