// Package placement selects an upstream for each request and defines the order in which waiting
// requests are served. It does no I/O: time and load reports are passed as arguments, so that tests
// can replay a load pattern.
//
// It is designed for demand above the capacity of the upstreams, as seen by one of several entry
// VMs that do not share their counters. The load that other VMs put on an upstream is known only
// from the load that the upstream reports in its responses. Requests on one object go to the few
// upstreams that have it cached, and traffic shifts between regions at a bounded rate, so that it
// does not hit cold caches all at once.
package placement
