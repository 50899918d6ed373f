// Package caller acts as a caller of pistachiomount: it asks an entry VM which
// VMs to use, sends requests for several customers at given rates, and counts
// what came back, wrong answers included. The load is bounded in rate, time
// and requests in flight.
package caller
