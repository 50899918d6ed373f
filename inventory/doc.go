// Package inventory reads the lists of VMs and upstreams that the platform
// publishes, and the health and load that upstreams report.
//
// This data may be outdated or wrong, so each list and report carries the instant
// of its request. If a list cannot be fetched, the last valid one is kept with
// its age.
package inventory
