// Package demand counts what callers ask of each service: the rate of requests, the requests that run,
// and the number of distinct objects. An entry VM sees a small part of its region's requests, so VMs
// record their own and the leader merges them into one view by region, the same for all VMs. It does
// no I/O.
package demand
