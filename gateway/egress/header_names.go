package egress

import "pistachiomount.example/pistachiomount/announce"

// HeaderNames are the names of the headers between entry VMs and upstreams.
type HeaderNames struct {
	RequestID string
	// Deadline carries the time left until the deadline, in milliseconds.
	Deadline string
	// Customer carries the name of the customer; the gateway sets it.
	Customer string
	// ExpectedUpstream carries the ID of the upstream that should run the request.
	ExpectedUpstream string
	// NotRun marks a response to a request that the upstream did not run.
	NotRun string
	// Load carries the upstream's numbers of running requests, waiting requests and slots.
	Load string
	// Signature marks a response as written by the upstream itself; every success response has it.
	Signature string
	// UpstreamID carries the ID of the upstream, in responses to health checks.
	UpstreamID string
	// Cold carries how long the upstream stays cold, in milliseconds.
	Cold string
	// Announced are the headers in which upstreams announce something about themselves.
	Announced announce.HeaderNames
	// Stripped are the headers that are not forwarded to upstreams.
	Stripped []string
}
