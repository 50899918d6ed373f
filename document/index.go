package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"sort"
	"strings"
)

// RouteMatch is a route together with its service.
type RouteMatch struct {
	Service *Service
	Route   *Route
}

// Index looks up customers, keys, services and routes for the request path. It is
// immutable.
type Index struct {
	doc          *Document
	keysByDigest map[[sha256.Size]byte]indexedKey
	routes       []RouteMatch
	services     map[string]*Service
	customers    map[string]*Customer
}

type indexedKey struct {
	digest   [sha256.Size]byte
	id       string
	customer *Customer
}

// NewIndex builds the index of a validated document.
func NewIndex(doc *Document) *Index {
	ix := &Index{
		doc:          doc,
		keysByDigest: map[[sha256.Size]byte]indexedKey{},
		services:     make(map[string]*Service, len(doc.Services)),
		customers:    make(map[string]*Customer, len(doc.Customers)),
	}
	for i := range doc.Services {
		ix.addService(&doc.Services[i])
	}
	for i := range doc.Customers {
		ix.addCustomer(&doc.Customers[i])
	}
	sort.SliceStable(ix.routes, func(a, b int) bool {
		return len(ix.routes[a].Route.Prefix) > len(ix.routes[b].Route.Prefix)
	})
	return ix
}

func (ix *Index) addService(s *Service) {
	ix.services[s.Name] = s
	for i := range s.Routes {
		ix.routes = append(ix.routes, RouteMatch{Service: s, Route: &s.Routes[i]})
	}
}

func (ix *Index) addCustomer(c *Customer) {
	ix.customers[c.Name] = c
	for i := range c.Keys {
		if digest, ok := c.Keys[i].digest(); ok {
			ix.keysByDigest[digest] = indexedKey{digest: digest, id: c.Keys[i].ID, customer: c}
		}
	}
}

// Document returns the indexed document.
func (ix *Index) Document() *Document { return ix.doc }

// Service returns the service with the name, or nil.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// Customer returns the customer with the name, or nil.
func (ix *Index) Customer(name string) *Customer { return ix.customers[name] }

// Authenticate returns the customer and the id of the key with the digest. The map
// lookup is safe against timing attacks because callers cannot choose the bytes of
// a digest; the final comparison takes constant time.
func (ix *Index) Authenticate(digest [sha256.Size]byte) (*Customer, string, bool) {
	key, ok := ix.keysByDigest[digest]
	if !ok || subtle.ConstantTimeCompare(key.digest[:], digest[:]) != 1 {
		return nil, "", false
	}
	return key.customer, key.id, true
}

// Match returns the route with the longest prefix that matches the cleaned path.
func (ix *Index) Match(path string) (RouteMatch, bool) {
	for _, m := range ix.routes {
		if hasSegmentPrefix(path, m.Route.Prefix) {
			return m, true
		}
	}
	return RouteMatch{}, false
}

func hasSegmentPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix == "/" || path[len(prefix)] == '/'
}
