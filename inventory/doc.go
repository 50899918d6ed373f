// Package inventory reads the lists of VMs and upstreams that the platform
// publishes, and the health and load that upstreams report.
//
// All of this lags or misleads, so each list and report carries the instant at
// which it was asked for. A list that cannot be fetched leaves the last good
// one in place, with its age.
package inventory
