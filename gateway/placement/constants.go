package placement

import "time"

const (
	// otherLoadHalfLife is the half-life of a reported load of other VMs. Load changes within
	// seconds, and an upstream that this VM does not use must appear free again.
	otherLoadHalfLife = 3 * time.Second
	// firstEjection and maxEjection bound how long an unreachable upstream is ejected before it is
	// probed. Upstreams that crash restart within a few seconds. A recovered upstream is paced, so it
	// needs no longer wait.
	firstEjection = 500 * time.Millisecond
	maxEjection   = time.Second
	// unpacedMaxEjection applies without pacing.
	unpacedMaxEjection = 4 * time.Second
	// probeTime is how long a probe may take. No second one is sent meanwhile.
	probeTime = 4 * time.Second
	// degradedFailureRate is the failure rate above which an upstream is used only if no other has
	// capacity. Healthy upstreams fail less than 0.01 of their requests.
	degradedFailureRate = 0.25
	// failingRate is the failure rate above which the slots of an upstream count as lost: some five
	// failures in a row.
	failingRate = 0.5
	// degradedLatencyRatio is the multiple of the average response time above which the same applies.
	// A few cold requests, which take 3.3 times as long as warm ones, stay below it on average.
	degradedLatencyRatio = 2.0
	// averageWeight is the weight of one request in the moving averages, which span about seven
	// requests.
	averageWeight = 0.15
	// maxLatencyRatio bounds the contribution of one response to the average, so that a single very
	// late one does not mark an upstream as degraded.
	maxLatencyRatio = 10.0
	// degradedTimeout is how long an upstream stays degraded without new requests.
	degradedTimeout = 3 * time.Second
	// coldMargin is added to the time that an upstream stays cold according to the upstream list, which may
	// be off by the time of the call that read it. Other cold times begin before this VM learns of them and
	// need no margin.
	coldMargin = time.Second
	// coldSenders is how many VMs may use one cold upstream. They share its rate, and each of them
	// adds a burst of one request.
	coldSenders = 2
)

// queueAllowances is how many requests beyond its slots an upstream may receive, by urgency, so
// that the most urgent kinds find capacity first. At least one request may wait at the upstream:
// several VMs share it, and each of them learns of a free slot only from its own responses; without
// a waiting request, the slot would stay idle until then.
var queueAllowances = [...]float64{2, 1.5, 1}

// queueAllowance returns the requests beyond its slots that an upstream may receive at an urgency.
func queueAllowance(urgency int) float64 {
	return queueAllowances[min(max(urgency, 0), len(queueAllowances)-1)]
}
