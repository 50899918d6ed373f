// Package steering chooses the region and the upstream for each request.
//
// Region shares come from the weights in the document. They ramp toward a new target
// at a configured pace and are limited by measured headroom. An upstream is chosen by
// the power of two random choices over its in-flight requests from this VM and its
// reported load, corrected by the outcomes of this VM's requests.
//
// The package starts no goroutine. The owner calls Steerer.Tick every 100 ms to 250
// ms. All state that depends on time advances there, so the request path reads no
// clock, takes no lock and does not allocate. Ramp positions are not persisted: a
// restarted process begins at the target shares.
//
// Lock order: Steerer.mu before Pool.mu. Neither is held across I/O.
package steering
