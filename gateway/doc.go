// Package gateway is the request path of an entry VM on a platform: it finds the
// route and the customer of each request, keeps within rates, places the request
// at an upstream, and returns the whole answer or a refusal that is true.
//
// It decides nothing about waiting or placing itself; that is the part of package
// placement, which does no input and output.
package gateway
