// Package plan defines the routing plan of a deployment: the routes from requests
// to services, the rate limits of customers, and the size and time limits for
// callers.
//
// The operator of a platform submits a plan as a whole. Control daemons replicate
// it; entry daemons receive it with digests in place of plaintext keys.
package plan
