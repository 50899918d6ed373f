// Package egress sends requests to upstreams over kept connections.
//
// It never sends a request twice. An exchange ends with the whole answer, with
// the certainty that the request did not run, or with neither; what follows from
// that is up to the caller.
package egress
