// Package caller is a load generator that acts as callers of pistachiomount do: it
// looks up the entry VMs of a service, sends requests of several customers at given
// rates, and counts the outcomes, including responses that do not match their
// request. The load is bounded in rate, duration and requests in flight.
package caller
