package steering

import "time"

// MeasuredLoads computes region loads from the reports of the upstreams: requests in
// flight divided by slots. Regions in which fewer than half of the upstreams have a
// fresh report are omitted. The owner passes the result to ReportRegion unless it has
// a better measurement.
func (s *Steerer) MeasuredLoads() []RegionReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables.Load()
	var out []RegionReport
	for _, name := range sortedKeys(t.services) {
		svc := t.services[name]
		for i := range svc.pools {
			p := svc.pools[i].Load()
			if p == nil {
				continue
			}
			if load, age, ok := p.measuredLoad(s.now); ok {
				out = append(out, RegionReport{Service: name, Region: p.name, Load: load, Age: age})
			}
		}
	}
	return out
}

// measuredLoad returns the load and the age of the oldest report that it uses.
func (p *Pool) measuredLoad(now time.Duration) (load float64, age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inFlight, slots, fresh, present := 0, 0, 0, 0
	for _, t := range p.members {
		if t.drained || t.leaving.active() {
			continue
		}
		present++
		if since := now - t.report.measuredAt; t.report.known && since <= maxReportAge {
			fresh++
			inFlight += t.report.inFlight
			slots += t.slots
			age = max(age, since)
		}
	}
	if slots == 0 || 2*fresh < present {
		return 0, 0, false
	}
	return float64(inFlight) / float64(slots), age, true
}
