package steering_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/steering"
)

const simStep = 100 * time.Millisecond

var simRegions = []string{"a", "b", "c"}

// fluid simulates a fleet whose traffic follows the shares of one Steerer, with
// load reports that arrive late.
type fluid struct {
	clk     clock.Manual
	s       *steering.Steerer
	caps    map[string]float64
	demand  float64
	lag     time.Duration
	silent  bool
	mute    string // region that does not report
	steps   int
	history []map[string]float64 // load by region
}

func newFluid(demand float64, lag time.Duration, caps map[string]float64, weights map[string]float64) *fluid {
	f := &fluid{demand: demand, lag: lag, caps: caps}
	f.s = steering.New(&f.clk, nil)
	f.configure(weights)
	f.run(8 * time.Second)
	return f
}

func (f *fluid) configure(weights map[string]float64, drained ...string) {
	c := steering.Config{Regions: simRegions, DrainedRegions: drained}
	rule := steering.Rule{Service: "records"}
	for _, r := range simRegions {
		rule.Weights = append(rule.Weights, steering.Weight{Region: r, Percent: weights[r]})
		c.Capacities = append(c.Capacities, steering.Capacity{Service: "records", Region: r, RequestsPerSecond: f.caps[r]})
	}
	c.Rules = []steering.Rule{rule}
	if err := f.s.SetConfig(c); err != nil {
		panic(err)
	}
}

func (f *fluid) loads() map[string]float64 {
	loads := make(map[string]float64)
	for _, w := range f.s.Shares(steering.Request{Service: "records"}) {
		loads[w.Region] = w.Percent / 100 * f.demand / f.caps[w.Region]
	}
	return loads
}

// run advances the time and returns the history of the period.
func (f *fluid) run(d time.Duration) []map[string]float64 {
	from := len(f.history)
	for range int(d / simStep) {
		f.clk.Advance(simStep)
		f.s.Tick()
		f.history = append(f.history, f.loads())
		f.steps++
		if then := f.steps - 1 - int(f.lag/simStep); f.steps%10 == 0 && then >= 0 && !f.silent {
			for _, r := range simRegions {
				if r == f.mute {
					continue
				}
				f.s.ReportRegion(steering.RegionReport{Service: "records", Region: r, Load: f.history[then][r], Age: f.lag})
			}
		}
	}
	return f.history[from:]
}

func peak(history []map[string]float64, region string) float64 {
	top := 0.0
	for _, loads := range history {
		top = max(top, loads[region])
	}
	return top
}

// reversals counts changes of direction that are larger than 2% of the capacity.
func reversals(history []map[string]float64, region string) int {
	count, direction, extreme := 0, 0.0, history[0][region]
	for _, loads := range history {
		v := loads[region]
		switch {
		case math.Abs(v-extreme) > 0.02 && (v-extreme)*direction <= 0:
			if direction != 0 {
				count++
			}
			direction, extreme = v-extreme, v
		case (v-extreme)*direction > 0:
			extreme = v
		}
	}
	return count
}

func largestStep(history []map[string]float64, region string) float64 {
	top := 0.0
	for i := 1; i < len(history); i++ {
		top = max(top, math.Abs(history[i][region]-history[i-1][region]))
	}
	return top
}

// Guards against a ramp that passes a region's cap because its load reports lag,
// and against a limit that swings while they do.
func TestRampStaysBelowCapWithLateReports(t *testing.T) {
	is := is.New(t)
	f := newFluid(1000, 5*time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 40, "b": 40, "c": 20})
	f.configure(map[string]float64{"a": 90, "b": 5, "c": 5})
	history := f.run(3 * time.Minute)
	is.True(peak(history, "a") <= 0.95)
	is.True(history[len(history)-1]["a"] >= 0.7) // the weights count up to the watermark
	for _, r := range simRegions {
		is.True(peak(history, r) <= 1)
		is.True(reversals(history, r) <= 1)
	}
}

// Guards against headroom that is taken for granted when reports stop in the
// middle of a ramp, and against jumps when they stop and when they resume.
func TestReportsStopDuringRamp(t *testing.T) {
	is := is.New(t)
	f := newFluid(1000, 5*time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 40, "b": 40, "c": 20})
	f.configure(map[string]float64{"a": 90, "b": 5, "c": 5})
	history := f.run(4 * time.Second)
	f.silent = true
	history = append(history, f.run(5*time.Minute)...)
	f.silent = false
	history = append(history, f.run(time.Minute)...)
	for _, r := range simRegions {
		is.True(peak(history, r) <= 1)
		is.True(largestStep(history, r) <= 0.02) // 5 points per second of 1000/700 are 0.007 a step
		is.True(reversals(history, r) <= 2)
	}
}

// Guards against shares that move although nothing is known to have changed.
func TestSharesHoldWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newFluid(1000, time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 50, "b": 30, "c": 20})
	f.silent = true
	before := f.loads()
	history := f.run(10 * time.Minute)
	for _, r := range simRegions {
		is.True(math.Abs(history[len(history)-1][r]-before[r]) < 0.001)
	}
}

func drawPerRegion(t *rapid.T, low, high int) map[string]float64 {
	out := make(map[string]float64)
	for _, r := range simRegions {
		out[r] = float64(rapid.IntRange(low, high).Draw(t, r))
	}
	return out
}

// Guards against overload by any shift that the capacities can carry, and
// against hunting, over weights, capacities and report lags.
func TestShiftsNeverOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawPerRegion(t, 1, 100), drawPerRegion(t, 1, 100)
		caps := drawPerRegion(t, 50, 80) // load in percent before the shift
		sum := before["a"] + before["b"] + before["c"]
		for _, r := range simRegions {
			caps[r] = 1000 * before[r] / sum / (caps[r] / 100)
		}
		lag := time.Duration(rapid.IntRange(0, 60).Draw(t, "lag")) * simStep
		f := newFluid(1000, lag, caps, before)
		f.configure(after)
		f.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "quiet")) * simStep)
		f.silent = rapid.Bool().Draw(t, "silent")
		f.run(40 * time.Second)
		for _, r := range simRegions {
			if top := peak(f.history, r); top > 1 {
				t.Fatalf("%s: load %v", r, top)
			}
			if n := reversals(f.history[80:], r); n > 3 {
				t.Fatalf("%s: %d reversals", r, n)
			}
		}
	})
}

// Guards against a ramp at full pace into a region that nobody measures, and
// against one that never ends.
func TestRampSlowsWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newFluid(100, time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 50, "b": 50})
	f.silent = true
	f.run(15 * time.Second)
	f.configure(map[string]float64{"a": 60, "b": 40})
	req := steering.Request{Service: "records"}
	f.run(10 * time.Second)
	is.True(share(f.s, req, "a") < 56)
	f.run(20 * time.Second)
	is.True(share(f.s, req, "a") > 59.9)
}

// Guards against cold caches that get a returning share at once.
func TestRaisedLimitKeepsPace(t *testing.T) {
	is := is.New(t)
	f := newFluid(1000, time.Second, map[string]float64{"a": 400, "b": 2000, "c": 2000}, map[string]float64{"a": 80, "b": 10, "c": 10})
	f.run(2 * time.Minute)
	f.demand = 100
	history := f.run(30 * time.Second)
	is.True(largestStep(history[1:], "a") <= 0.0013) // half a point in 100 ms
	is.True(peak(history[100:], "a") > 0.19)
}

// Guards against headroom that grows, collapses or jumps for a region whose
// reports stop while those of the others go on.
func TestHeadroomShrinksSlowlyWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newFluid(1000, time.Second, map[string]float64{"a": 400, "b": 2000, "c": 2000}, map[string]float64{"a": 80, "b": 10, "c": 10})
	f.run(2 * time.Minute)
	f.demand = 400 // a's limit would now be raised
	f.run(3 * time.Second)
	f.mute = "a"
	f.run(12 * time.Second) // until the reports count as stopped
	req := steering.Request{Service: "records"}
	before := share(f.s, req, "a")
	is.True(before < 70) // the weights give 80
	history := f.run(10 * time.Minute)
	is.True(largestStep(history, "a") < 0.01)
	is.True(peak(history, "a") <= history[0]["a"])
	is.True(share(f.s, req, "a") > before/3 && share(f.s, req, "a") < before*0.9)
}

// Guards against regions that push an excess to each other and back when the
// demand exceeds all capacities.
func TestOverloadOfAllRegionsDoesNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caps, weights := drawPerRegion(t, 50, 500), drawPerRegion(t, 1, 100)
		total := caps["a"] + caps["b"] + caps["c"]
		lag := time.Duration(rapid.IntRange(0, 50).Draw(t, "lag")) * simStep
		f := newFluid(total/2, lag, caps, weights)
		f.demand = total * float64(rapid.IntRange(100, 200).Draw(t, "demand")) / 100
		f.run(time.Minute)
		history := f.run(time.Minute)
		for _, r := range simRegions {
			if n := reversals(history, r); n > 1 {
				t.Fatalf("%s: %d reversals", r, n)
			}
			if top := peak(history, r); top > 1.3*f.demand/total {
				t.Fatalf("%s: load %v at demand %v of the capacity", r, top, f.demand/total)
			}
		}
	})
}
