// Package ingress serves callers' connections. Requests that were sent ahead on
// one connection run side by side and are answered in order; a connection that
// ends cancels the requests that came over it.
package ingress
