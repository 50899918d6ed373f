package e2e_test

import (
	"math"
	"time"
)

// regionMeter compares the number of requests started in each region with a rate limit.
type regionMeter struct {
	in     *installation
	start  time.Time
	before map[string]int
}

func (in *installation) meterRegions() *regionMeter {
	m := &regionMeter{in: in, before: map[string]int{}, start: time.Now()}
	for _, region := range regionNames {
		m.before[region] = in.startedInRegion(region)
	}
	return m
}

// check fails the test if a region started more requests than the limit allows since
// the meter was created. A cap of R is granted as a rate of 0.9 R and a bucket depth of
// 0.1 R, so at most 0.1 R + 0.9 R t requests start in the time t.
func (m *regionMeter) check(limit float64) {
	m.in.t.Helper()
	for _, region := range regionNames {
		started := m.in.startedInRegion(region) - m.before[region]
		elapsed := time.Since(m.start) // read after the count, so that it is never too short
		if allowed := int(math.Ceil(limit*0.1 + limit*0.9*elapsed.Seconds())); started > allowed {
			m.in.t.Errorf("%s started %d requests in %s, at most %d", region, started, elapsed, allowed)
		} else {
			m.in.t.Logf("%s started %d of at most %d requests", region, started, allowed)
		}
	}
}
