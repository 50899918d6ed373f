package demand

import (
	"maps"
	"time"

	"github.com/axiomhq/hyperloglog"
)

const (
	// sketchPrecision is the number of bits that select a register of a sketch: 256 registers, one byte
	// each, have a standard error of 6.5%.
	sketchPrecision = 8
	// sketchWindow is how long a sketch collects objects. Reports cover the current window and the one
	// before.
	sketchWindow = 10 * time.Second
	// rateWeight is the weight of a new interval in the moving average of the rate.
	rateWeight = 0.5
)

// Recorder records the requests of one VM for one service. Its zero value is ready to use. It is not
// safe for concurrent use.
type Recorder struct {
	current, previous window
	since             time.Time
	// arrivals is the number of requests since reportedAt, and boundArrivals the part of them that may
	// run in one region only, by region.
	arrivals      int
	boundArrivals map[string]int
	reportedAt    time.Time
	rate          float64
	boundRates    map[string]float64
}

// window holds the objects of one period.
type window struct {
	sketch   *hyperloglog.Sketch
	requests int
}

func newWindow() window {
	sketch, err := hyperloglog.NewSketch(sketchPrecision, false)
	if err != nil {
		panic(err) // the precision is a valid constant
	}
	return window{sketch: sketch}
}

// Record records a request; object is the hash of its object, 0 for none, and bound is the only region
// that it may run in, "" for several.
func (r *Recorder) Record(now time.Time, object uint64, bound string) {
	r.advance(now)
	r.arrivals++
	if bound != "" {
		if r.boundArrivals == nil {
			r.boundArrivals, r.boundRates = map[string]int{}, map[string]float64{}
		}
		r.boundArrivals[bound]++
	}
	if object != 0 {
		r.current.sketch.InsertHash(object)
		r.current.requests++
	}
}

func (r *Recorder) advance(now time.Time) {
	switch elapsed := now.Sub(r.since); {
	case elapsed >= 2*sketchWindow:
		r.current, r.previous, r.since = newWindow(), newWindow(), now
	case elapsed >= sketchWindow:
		r.current, r.previous, r.since = newWindow(), r.current, now
	}
}

func (r *Recorder) updateRates(seconds float64) {
	r.rate += rateWeight * (float64(r.arrivals)/seconds - r.rate)
	for region := range r.boundArrivals {
		r.boundRates[region] += 0 // an entry, so that the rate falls again when no more arrive
	}
	for region, rate := range r.boundRates {
		r.boundRates[region] = rate + rateWeight*(float64(r.boundArrivals[region])/seconds-rate)
	}
}

// Report returns what was recorded, for a service of that name at which running requests run. It starts
// a new interval of the rate.
func (r *Recorder) Report(now time.Time, service string, running int) Report {
	r.advance(now)
	if seconds := now.Sub(r.reportedAt).Seconds(); seconds > 0 {
		if !r.reportedAt.IsZero() {
			r.updateRates(seconds)
		}
		r.arrivals, r.reportedAt = 0, now
		clear(r.boundArrivals)
	}
	report := Report{
		Service: service, Rate: r.rate, Running: float64(running), Requests: r.current.requests + r.previous.requests,
		Bound: maps.Clone(r.boundRates),
	}
	merged := r.current.sketch.Clone()
	if merged.Merge(r.previous.sketch) != nil { // fails only for another precision
		return report
	}
	report.Sketch, _ = merged.MarshalBinary() // never fails
	return report
}
