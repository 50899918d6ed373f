// Package reject defines the refusals of the entry hop: their reasons, what
// they say about the request having run, and their form on the wire.
package reject
