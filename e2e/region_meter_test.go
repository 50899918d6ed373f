package e2e_test

import (
	"math"
	"time"
)

// regionMeter compares the requests that regions started with a rate.
type regionMeter struct {
	in     *installation
	began  time.Time
	before map[string]int
}

func (in *installation) meterRegions() *regionMeter {
	m := &regionMeter{in: in, before: map[string]int{}, began: time.Now()}
	for _, region := range regionNames {
		m.before[region] = in.startedIn(region)
	}
	return m
}

// check fails if a region started more than the rate allows since the meter
// began. A cap of R is shared out as 0.9 R of rate and 0.1 R of depth, so that at
// most 0.1 R + 0.9 R t start in the time t.
func (m *regionMeter) check(limit float64) {
	m.in.t.Helper()
	for _, region := range regionNames {
		started := m.in.startedIn(region) - m.before[region]
		elapsed := time.Since(m.began) // after the count, so that it is never too short
		if most := int(math.Ceil(limit*0.1 + limit*0.9*elapsed.Seconds())); started > most {
			m.in.t.Errorf("%s started %d requests in %s, at most %d", region, started, elapsed, most)
		} else {
			m.in.t.Logf("%s started %d of at most %d requests", region, started, most)
		}
	}
}
