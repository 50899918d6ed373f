// Package placement decides where a request goes and which of the waiting
// requests goes next. It does no input and output: time and reports come in as
// arguments, so that a load pattern can be replayed in a test.
//
// It answers a load above what the upstreams' slots can do, seen from one of
// several entry VMs that do not share their counts. What other VMs have running at
// an upstream is known only from the load that the upstream reports in its answers.
package placement
