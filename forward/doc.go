// Package forward implements the request path of an entry VM: it validates a request,
// authenticates and admits it, sends it to an upstream and returns the response to the
// caller.
//
// Requests on idempotent routes may be retried and hedged. All others are sent at most
// once, on a connection opened for them. A rejection says not_run only if no byte of the
// request can have been sent. The package reaches everything else through small interfaces
// that the entry daemon implements.
package forward
