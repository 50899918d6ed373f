// Package gateway is the request path of an entry VM on a platform. It finds the route and the
// customer of each request, enforces rates, chooses an upstream, and returns either the complete
// response or a rejection that states correctly whether the request may have run.
//
// Package admission decides how long requests wait, and package placement chooses upstreams; neither
// does I/O.
package gateway
