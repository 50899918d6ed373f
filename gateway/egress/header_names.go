package egress

// HeaderNames are the names of the headers between entry VMs and upstreams.
type HeaderNames struct {
	RequestID string
	// Deadline is the time that is left, in milliseconds.
	Deadline string
	// Customer is set for the upstream.
	Customer string
	// ExpectedUpstream names the upstream that is meant to run the request.
	ExpectedUpstream string
	// NotRun marks an answer to a request that the upstream did not run.
	NotRun string
	// Load is the upstream's report of running and waiting requests and slots.
	Load string
	// Signature marks an answer as the upstream's own; a success has it.
	Signature string
	// UpstreamID is the id of the upstream, in answers to health checks.
	UpstreamID string
	// Cold is how long the upstream stays cold, in milliseconds.
	Cold string
	// Stripped are headers that are not passed on.
	Stripped []string
}
