// Package egress sends requests to upstreams over pooled connections.
//
// It sends each request at most once. An exchange ends with the response, with the certainty that the
// request did not run, or with neither; whether to retry is up to the caller.
package egress
