package steering

// Request is what the choice of a region depends on.
type Request struct {
	Service  string
	Customer string
	// From is the caller's region, empty when unknown.
	From string
	// Idempotent requests may be sent to a suspended region as a probe.
	Idempotent bool
}
