package steering

// Request holds the properties of a request that determine its region.
type Request struct {
	Service  string
	Customer string
	// From is the caller's region, empty when unknown.
	From string
	// Idempotent requests may be sent to a suspended region as a probe.
	Idempotent bool
}
