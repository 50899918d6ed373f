// Package plan holds the routing plan of a deployment: which requests go to
// which services, what customers may send, and what callers must keep to.
//
// A plan is what an operator of a platform submits as a whole. Control daemons
// replicate it; entry daemons get it without the keys in the clear.
package plan
