package placement

import "time"

const (
	// otherLoadHalfLife is how fast a report of other VMs' load loses weight. Load changes
	// within seconds; an upstream that this VM does not use must look free again.
	otherLoadHalfLife = 3 * time.Second
	// firstEjection and maxEjection bound how long an upstream that cannot be
	// reached is left out before it is probed. Upstreams that crash are back after a
	// few seconds.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// degradedFailureRate is the share of failures from which an upstream is used only when
	// no other has room. Upstreams that are well fail below 0.01 of their requests.
	degradedFailureRate = 0.25
	// degradedLatencyRatio is the multiple of the usual time from which the same holds. A few cold
	// requests, which take 3.3 times as long as warm ones, stay below it on average.
	degradedLatencyRatio = 2.0
	// averageWeight is the weight of one request in the moving averages: about the last
	// seven requests decide.
	averageWeight = 0.15
	// maxLatencyRatio bounds what one answer adds to the average, so that a single very late one
	// does not mark an upstream as slow.
	maxLatencyRatio = 10.0
	// degradedTimeout is how long a bad judgement lasts without new requests.
	degradedTimeout = 3 * time.Second
	// coldMargin is added to the time that an upstream stays cold, since the list
	// that tells it lags.
	coldMargin = time.Second
	// coldSenders is how many VMs may use one cold upstream. Its rate is shared out
	// among them, and each one adds a burst of one request.
	coldSenders = 2
)

// queueAllowances is how many requests beyond its slots an upstream may get, by urgency,
// so that the most urgent kinds find room first. One at least waits there: several VMs
// share an upstream, each knows of a freed slot only from its own answers, and without
// a request that waits the slot would stay idle until then.
var queueAllowances = [...]float64{2, 1.5, 1}

func queueAllowance(urgency int) float64 {
	return queueAllowances[min(max(urgency, 0), len(queueAllowances)-1)]
}
