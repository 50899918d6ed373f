package pace

// Result is how a request at a paced upstream ended.
type Result int

// Results.
const (
	// InTime: the response took no longer than one of an upstream with a free slot.
	InTime Result = iota
	// Busy: the response was in time, but the upstream reports that requests wait.
	Busy
	// Neutral: the response shows neither a free slot nor the lack of one.
	Neutral
	// Late: the response took longer than any of an upstream with a free slot.
	Late
	// Rejected: the upstream had no capacity.
	Rejected
	// TimedOut: no response arrived in time.
	TimedOut
	// Failed: the connection broke or could not be established, or the response is an error.
	Failed
)

const (
	// slowRatio is the multiple of the usual response time from which an upstream counts as slow, as in
	// package placement. A response that took longer has waited, or its object was not cached.
	slowRatio = 2.0
	// lateRatio is the multiple that no request on an idle upstream takes: one on an object that is not
	// cached takes 3.3 times as long as one that is.
	lateRatio = 3.4
)

// Judge returns the result of a response that took the given multiple of the usual time, and with which the
// upstream reported that requests wait. The response time counts more than the report: a false report
// that none wait hides no late response, and a false report that some do slows growth but doesn't stop it.
func Judge(latencyRatio float64, waiting bool) Result {
	switch {
	case latencyRatio > lateRatio || latencyRatio > slowRatio && waiting:
		return Late
	case waiting:
		return Busy
	}
	return InTime
}
