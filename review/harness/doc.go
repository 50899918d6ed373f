// Package harness starts the daemons of pistachiomount on loopback addresses, with stand-ins of the platform, of
// upstreams and of an operator, for the scripts of the review.
package harness
