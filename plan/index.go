package plan

import (
	"sort"
	"strings"
)

// routeKey identifies a route by host and path prefix.
type routeKey struct{ host, prefix string }

// Index looks up the route, service and customer of a request.
type Index struct {
	Plan      *Plan
	routes    map[string]hostRoutes
	services  map[string]*Service
	customers map[string]*Customer
}

// hostRoutes holds the routes of one host by prefix, and the distinct prefix
// lengths in descending order.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int
}

// NewIndex returns the index of a valid plan. The plan must not be modified
// afterwards.
func NewIndex(p *Plan) *Index {
	x := &Index{
		Plan: p, routes: map[string]hostRoutes{},
		services: map[string]*Service{}, customers: map[string]*Customer{},
	}
	for i := range p.Routes {
		x.addRoute(&p.Routes[i])
	}
	for i := range p.Services {
		x.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Customers {
		for _, digest := range p.Customers[i].KeyDigests {
			x.customers[digest] = &p.Customers[i]
		}
	}
	return x
}

func (x *Index) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	routes, ok := x.routes[host]
	if !ok {
		routes.byPrefix = map[string]*Route{}
	}
	routes.byPrefix[r.Prefix] = r
	at := sort.Search(len(routes.lengths), func(i int) bool { return routes.lengths[i] <= len(r.Prefix) })
	if at == len(routes.lengths) || routes.lengths[at] != len(r.Prefix) {
		routes.lengths = append(routes.lengths, 0)
		copy(routes.lengths[at+1:], routes.lengths[at:])
		routes.lengths[at] = len(r.Prefix)
	}
	x.routes[host] = routes
}

// Route returns the route of the host with the longest matching path prefix, or
// nil. The host may include a port and is matched case-insensitively.
func (x *Index) Route(host, path string) *Route {
	routes, ok := x.routes[strings.ToLower(hostname(host))]
	if !ok {
		return nil
	}
	for _, n := range routes.lengths {
		if n <= len(path) {
			if r := routes.byPrefix[path[:n]]; r != nil {
				return r
			}
		}
	}
	return nil
}

// hostname returns the host without the port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Service returns the named service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Customer returns the customer that owns the plaintext key, or nil.
func (x *Index) Customer(key string) *Customer { return x.customers[DigestKey(key)] }

// KeysRequired reports whether routes that are not public need a customer's key. A plan with
// customers always requires keys.
func (x *Index) KeysRequired() bool { return x.Plan.KeysRequired || len(x.Plan.Customers) > 0 }
