// Package steering chooses, for each request, the region it goes to and the
// upstream in that region.
//
// Region shares come from the document's weights, ramped toward a new target at a
// configured pace and limited by measured headroom. Upstreams are chosen by the
// power of two random choices over own in-flight requests and reported load, and
// corrected by the outcomes of own requests.
//
// The package starts no goroutine. The owner calls Steerer.Tick every 100 ms to
// 250 ms; everything that depends on time moves there, so the request path reads
// no clock, takes no lock and does not allocate. Ramp positions are not kept
// across restarts: a restarted process begins at the target shares.
//
// Lock order: Steerer.mu before Pool.mu. Neither is held across I/O.
package steering
