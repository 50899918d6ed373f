package placement

import "time"

const (
	// othersHalfLife is how fast a report of other VMs' load loses weight. Load changes
	// within seconds; an upstream that this VM does not use must look free again.
	othersHalfLife = 3 * time.Second
	// firstEjection and maxEjection bound how long an upstream that cannot be
	// reached is left out before it is probed. Upstreams that crash are back after a
	// few seconds.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// badShare is the share of failures from which an upstream is used only when
	// no other has room. Upstreams that are well fail below 0.01 of their requests.
	badShare = 0.25
	// slowRatio is the multiple of the usual time from which the same holds. A few cold
	// requests, which take 3.3 times as long as warm ones, stay below it on average.
	slowRatio = 2.0
	// averageWeight is the weight of one request in the moving averages: about the last
	// seven requests decide.
	averageWeight = 0.15
	// maxTook bounds what one answer adds to the average, so that a single very late one
	// does not mark an upstream as slow.
	maxTook = 10.0
	// judgementTime is how long a bad judgement lasts without new requests.
	judgementTime = 3 * time.Second
	// coldMargin is added to the time that an upstream stays cold, since the list
	// that tells it lags.
	coldMargin = time.Second
	// holders is how many VMs may use one cold upstream. Its rate is shared out
	// among them, and each one adds a burst of one request.
	holders = 2
)

// extraRoom is how many requests beyond its slots an upstream may get, by urgency,
// so that the most urgent kinds find room first. One at least waits there: several VMs
// share an upstream, each knows of a freed slot only from its own answers, and without
// a request that waits the slot would stay idle until then.
var extraRoom = [...]float64{2, 1.5, 1}

func extra(urgency int) float64 {
	return extraRoom[min(max(urgency, 0), len(extraRoom)-1)]
}
