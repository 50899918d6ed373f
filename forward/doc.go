// Package forward is the request path of an entry VM: it checks a request,
// authenticates it, admits it, sends it to an upstream and answers the caller.
//
// Requests of idempotent routes may be retried and hedged. All others are sent
// at most once, on a connection opened for them. A refusal says not_run only
// if no byte of the request can have left. Everything outside the path is
// behind small interfaces that the entry daemon adapts.
package forward
