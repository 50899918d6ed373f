package forward

import "time"

// Query describes the request for which a region or upstream is chosen.
type Query struct {
	Service, Customer, From string
	// Idempotent requests may be used to probe a region that failed before.
	Idempotent bool
}

// Result is the outcome of a picked upstream.
type Result int

const (
	// ResultUnused means that nothing was sent because a grant was missing.
	ResultUnused Result = iota
	// ResultCompleted means a complete response.
	ResultCompleted
	// ResultRejected means a response with status 502, 503 or 504.
	ResultRejected
	// ResultFailed means a connection error or a truncated response.
	ResultFailed
	// ResultTimeout means that no complete response arrived in time.
	ResultTimeout
	// ResultCancelled means that the response was no longer needed.
	ResultCancelled
)

// Report describes how the use of an upstream ended.
type Report struct {
	Result  Result
	Elapsed time.Duration
	// Draining is set if the upstream said that it is shutting down.
	Draining bool
}
