package forward

import "time"

// Query says for whom a region or upstream is chosen.
type Query struct {
	Service, Customer, From string
	// Idempotent requests may be used to probe a region that failed before.
	Idempotent bool
}

// Result is how the use of a picked upstream ended.
type Result int

const (
	// ResultUnused means that nothing was sent for lack of a grant.
	ResultUnused Result = iota
	// ResultCompleted means a whole answer.
	ResultCompleted
	// ResultRejected means a 502, 503 or 504 answer.
	ResultRejected
	// ResultFailed means a connection error or a cut answer.
	ResultFailed
	// ResultTimeout means that no whole answer came in time.
	ResultTimeout
	// ResultCancelled means that the answer was no longer wanted.
	ResultCancelled
)

// Report is the outcome of one use of an upstream.
type Report struct {
	Result  Result
	Elapsed time.Duration
	// Draining is set if the upstream said that it is leaving.
	Draining bool
}
