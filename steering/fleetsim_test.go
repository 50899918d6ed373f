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

// fleetSim simulates a fleet whose traffic follows the region shares exactly and whose
// load reports are delayed by lag. VM i serves the callers of region i.
type fleetSim struct {
	clk            clock.Manual
	first          *steering.Steerer // the first VM
	vms            []*steering.Steerer
	capacities     map[string]float64
	demand         []float64 // by VM
	lag            time.Duration
	reportsStopped bool
	silentRegion   string               // region that does not report
	history        []map[string]float64 // load by region
}

// newSingleVMSim returns a simulation of one VM.
func newSingleVMSim(demand float64, lag time.Duration, capacities, weights map[string]float64) *fleetSim {
	return newFleetSim([]float64{demand}, lag, capacities, weights)
}

// newFleetSim returns a simulation of one VM for each entry of demand.
func newFleetSim(demand []float64, lag time.Duration, capacities map[string]float64, weights ...map[string]float64) *fleetSim {
	f := &fleetSim{demand: demand, lag: lag, capacities: capacities}
	for range demand {
		f.vms = append(f.vms, steering.New(&f.clk, nil))
	}
	f.first = f.vms[0]
	f.configure(weights...)
	f.run(8 * time.Second)
	return f
}

// configure sets the weights of each caller region.
func (f *fleetSim) configure(weights ...map[string]float64) {
	c := steering.Config{Regions: simRegions}
	for _, r := range simRegions {
		c.Capacities = append(c.Capacities, steering.Capacity{Service: "records", Region: r, RequestsPerSecond: f.capacities[r]})
	}
	for i, byRegion := range weights {
		rule := steering.Rule{Service: "records", From: simRegions[i]}
		for _, r := range simRegions {
			rule.Weights = append(rule.Weights, steering.Weight{Region: r, Percent: byRegion[r]})
		}
		c.Rules = append(c.Rules, rule)
	}
	for _, s := range f.vms {
		if err := s.SetConfig(c); err != nil {
			panic(err)
		}
	}
}

// step sends the requests of one VM, so that its classes have request rates, and adds
// their load to loads.
func (f *fleetSim) step(i int, loads map[string]float64) {
	req := steering.Request{Service: "records", From: simRegions[i]}
	for range len(f.vms) - 1 {
		_, _ = f.vms[i].ChooseRegions(req)
	}
	f.vms[i].Tick()
	for _, w := range f.vms[i].Shares(req) {
		loads[w.Region] += w.Percent / 100 * f.demand[i] / f.capacities[w.Region]
	}
}

// run advances the simulation by d and returns the loads of that period.
func (f *fleetSim) run(d time.Duration) []map[string]float64 {
	from := len(f.history)
	for range int(d / simStep) {
		f.clk.Advance(simStep)
		loads := make(map[string]float64)
		for i := range f.vms {
			f.step(i, loads)
		}
		f.history = append(f.history, loads)
		if then := len(f.history) - 1 - int(f.lag/simStep); len(f.history)%10 == 0 && then >= 0 && !f.reportsStopped {
			f.report(f.history[then])
		}
	}
	return f.history[from:]
}

func (f *fleetSim) report(loads map[string]float64) {
	for _, s := range f.vms {
		for _, r := range simRegions {
			if r != f.silentRegion {
				s.ReportRegion(steering.RegionReport{Service: "records", Region: r, Load: loads[r], Age: f.lag})
			}
		}
	}
}

// newSimDuringShift returns a simulation at the start of a shift that would overload
// region a.
func newSimDuringShift() *fleetSim {
	f := newSingleVMSim(1000, 5*time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 40, "b": 40, "c": 20})
	f.configure(map[string]float64{"a": 90, "b": 5, "c": 5})
	return f
}

// newSimAtLimit returns a simulation that has settled with region a at the watermark.
func newSimAtLimit() *fleetSim {
	f := newSingleVMSim(1000, time.Second, map[string]float64{"a": 400, "b": 2000, "c": 2000}, map[string]float64{"a": 80, "b": 10, "c": 10})
	f.run(2 * time.Minute)
	return f
}

func peak(history []map[string]float64, region string) float64 {
	highest := 0.0
	for _, loads := range history {
		highest = max(highest, loads[region])
	}
	return highest
}

// reversals counts changes of direction larger than 2% of the capacity.
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
	highest := 0.0
	for i := 1; i < len(history); i++ {
		highest = max(highest, math.Abs(history[i][region]-history[i-1][region]))
	}
	return highest
}

// Guards against a ramp that exceeds a region's capacity because its load reports are
// late, and against a limit that oscillates meanwhile.
func TestRampStaysBelowCapWithLateReports(t *testing.T) {
	is := is.New(t)
	f := newSimDuringShift()
	history := f.run(3 * time.Minute)
	is.True(peak(history, "a") <= 0.95)
	is.True(history[len(history)-1]["a"] >= 0.7) // the weights apply up to the watermark
	for _, r := range simRegions {
		is.True(peak(history, r) <= 1)
		is.True(reversals(history, r) <= 1)
	}
}

// Guards against overload and oscillation when entry VMs serve callers of different
// regions by different rules, so that no VM sees the shares of the whole fleet.
func TestFleetWithRulesByCallerRegion(t *testing.T) {
	is := is.New(t)
	c := map[string]float64{"a": 10, "b": 10, "c": 80}
	f := newFleetSim([]float64{600, 300, 300}, 5*time.Second, map[string]float64{"a": 700, "b": 700, "c": 700},
		map[string]float64{"a": 70, "b": 15, "c": 15}, map[string]float64{"a": 10, "b": 80, "c": 10}, c)
	f.run(12 * time.Second)
	most := map[string]float64{"a": 90, "b": 5, "c": 5}
	f.configure(most, most, c)
	f.run(2 * time.Minute)
	for _, region := range simRegions {
		is.True(peak(f.history, region) <= 0.95)
		is.True(reversals(f.history, region) <= 1)
	}
	is.True(f.history[len(f.history)-1]["a"] >= 0.7)
}

// Guards against assuming headroom when reports stop in the middle of a ramp, and
// against jumps when they stop and resume.
func TestReportsStopDuringRamp(t *testing.T) {
	is := is.New(t)
	f := newSimDuringShift()
	history := f.run(4 * time.Second)
	f.reportsStopped = true
	history = append(history, f.run(5*time.Minute)...)
	f.reportsStopped = false
	history = append(history, f.run(time.Minute)...)
	for _, r := range simRegions {
		is.True(peak(history, r) <= 1)
		is.True(largestStep(history, r) <= 0.02) // 5 points per second of 1000/700 are 0.007 per step
		is.True(reversals(history, r) <= 2)
	}
}

// Guards against shares that change without reports although nothing else changed.
func TestSharesHoldWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newSingleVMSim(1000, time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 50, "b": 30, "c": 20})
	f.reportsStopped = true
	before := f.history[len(f.history)-1]
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

// Guards against overload by any shift that the capacities can carry, and against
// oscillation, over random weights, capacities and report lags.
func TestShiftsNeverOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawPerRegion(t, 1, 100), drawPerRegion(t, 1, 100)
		capacities := drawPerRegion(t, 50, 80) // load in percent before the shift
		sum := before["a"] + before["b"] + before["c"]
		for _, r := range simRegions {
			capacities[r] = 1000 * before[r] / sum / (capacities[r] / 100)
		}
		lag := time.Duration(rapid.IntRange(0, 60).Draw(t, "lag")) * simStep
		f := newSingleVMSim(1000, lag, capacities, before)
		f.configure(after)
		f.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "quiet")) * simStep)
		f.reportsStopped = rapid.Bool().Draw(t, "silent")
		f.run(40 * time.Second)
		for _, r := range simRegions {
			if highest := peak(f.history, r); highest > 1 {
				t.Fatalf("%s: load %v", r, highest)
			}
			if n := reversals(f.history[80:], r); n > 3 {
				t.Fatalf("%s: %d reversals", r, n)
			}
		}
	})
}

// Guards against a ramp at full pace into a region without reports, and against one
// that never completes.
func TestRampSlowsWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newSingleVMSim(100, time.Second, map[string]float64{"a": 700, "b": 700, "c": 700}, map[string]float64{"a": 50, "b": 50})
	f.reportsStopped = true
	f.run(15 * time.Second)
	f.configure(map[string]float64{"a": 60, "b": 40})
	req := steering.Request{Service: "records", From: "a"}
	f.run(10 * time.Second)
	is.True(share(f.first, req, "a") < 56)
	f.run(20 * time.Second)
	is.True(share(f.first, req, "a") > 59.9)
}

// Guards against a share that returns at once when the load drops, while the caches of
// the region are cold.
func TestRaisedLimitKeepsRampPace(t *testing.T) {
	is := is.New(t)
	f := newSimAtLimit()
	f.demand[0] = 100
	history := f.run(30 * time.Second)
	is.True(largestStep(history[1:], "a") <= 0.0013) // half a percentage point in 100 ms
	is.True(peak(history[100:], "a") > 0.19)
}

// Guards against a limit that grows, collapses or jumps for a region whose reports
// stop while those of other regions continue.
func TestHeadroomShrinksSlowlyWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newSimAtLimit()
	f.demand[0] = 400 // fresh reports would now raise the limit of a
	f.run(3 * time.Second)
	f.silentRegion = "a"
	f.run(12 * time.Second) // until the reports are stale
	req := steering.Request{Service: "records", From: "a"}
	before := share(f.first, req, "a")
	is.True(before < 70) // the weights give 80
	history := f.run(10 * time.Minute)
	is.True(largestStep(history, "a") < 0.01)
	is.True(peak(history, "a") <= history[0]["a"])
	is.True(share(f.first, req, "a") > before/3 && share(f.first, req, "a") < before*0.9)
}

// Guards against regions that push excess load to each other and back when the demand
// exceeds all capacities.
func TestOverloadOfAllRegionsDoesNotOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, weights := drawPerRegion(t, 50, 500), drawPerRegion(t, 1, 100)
		total := capacities["a"] + capacities["b"] + capacities["c"]
		lag := time.Duration(rapid.IntRange(0, 50).Draw(t, "lag")) * simStep
		f := newSingleVMSim(total/2, lag, capacities, weights)
		f.demand[0] = total * float64(rapid.IntRange(100, 200).Draw(t, "demand")) / 100
		f.run(time.Minute)
		history := f.run(time.Minute)
		for _, r := range simRegions {
			if n := reversals(history, r); n > 1 {
				t.Fatalf("%s: %d reversals", r, n)
			}
			if highest := peak(history, r); highest > 1.3*f.demand[0]/total {
				t.Fatalf("%s: load %v at demand %v of the capacity", r, highest, f.demand[0]/total)
			}
		}
	})
}
