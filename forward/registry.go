package forward

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward/reject"
)

const (
	errRevoked    = errors.ConstError("key revoked")
	errNotAllowed = errors.ConstError("service no longer allowed")
	errViewStale  = errors.ConstError("view is stale")
)

// identity is the customer, key and service for which a request runs.
type identity struct {
	digest           [32]byte
	customer, id     string
	service          string
	keyRequired      bool
	preauthenticated bool // has no key: a job whose key was checked when it was accepted
	anyService       bool // not limited to a service: reads of a job's state
}

// check returns the reason why the view does not permit the request any more, or nil.
func (ident *identity) check(v View) error {
	if !ident.keyRequired {
		return nil
	}
	customer := v.Index.Customer(ident.customer)
	if !ident.preauthenticated {
		var id string
		var ok bool
		customer, id, ok = v.Index.Authenticate(ident.digest)
		if !ok || customer.Name != ident.customer || id != ident.id {
			return errRevoked
		}
	}
	if customer == nil || !ident.anyService && !customer.AllowsService(ident.service) {
		return errNotAllowed
	}
	return nil
}

// registry holds the running requests on routes that need a key, by key.
type registry struct {
	mu   sync.Mutex
	keys map[keyRef]map[*exchange]struct{}
}

type keyRef struct{ customer, id string }

func (g *registry) add(x *exchange) {
	ref := keyRef{x.identity.customer, x.identity.id}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keys == nil {
		g.keys = map[keyRef]map[*exchange]struct{}{}
	}
	if g.keys[ref] == nil {
		g.keys[ref] = map[*exchange]struct{}{}
	}
	g.keys[ref][x] = struct{}{}
}

func (g *registry) remove(x *exchange) {
	ref := keyRef{x.identity.customer, x.identity.id}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.keys[ref], x)
	if len(g.keys[ref]) == 0 {
		delete(g.keys, ref)
	}
}

// revalidate cancels the requests that the view no longer permits.
func (g *registry) revalidate(v View, l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := !v.Fresh && v.StaleFor > l.StaleGrace
	for _, group := range g.keys {
		for x := range group {
			if stale && !x.identity.preauthenticated {
				x.cancel(errViewStale)
			} else if err := x.identity.check(v); err != nil {
				x.cancel(err)
			}
		}
	}
}

// checkStillAllowed returns a rejection if the request has ended or the view no longer
// permits it. It is called before each attempt. After a pause it waits for the view.
func (x *exchange) checkStillAllowed() *reject.Rejection {
	v := x.h.cfg.Views.Await(x.ctx, x.deadline)
	if x.ctx.Err() != nil {
		return x.rejectionFor(context.Cause(x.ctx))
	}
	if v.Outdated || x.identity.keyRequired && !v.Fresh {
		return x.rejectionFor(errViewStale)
	}
	changed := v.Revision != x.view.Revision
	x.view = v
	if !changed {
		return nil
	}
	if err := x.identity.check(v); err != nil {
		return x.rejectionFor(err)
	}
	if match, ok := v.Index.Match(x.target.Path); ok && !x.identity.keyRequired && !match.Route.Public {
		return x.rejectionFor(errViewStale) // its caller has shown no key that was checked
	}
	return nil
}

// mayBeRepeated reports whether the route of the request was idempotent when it was accepted and still is.
func (x *exchange) mayBeRepeated() bool {
	match, ok := x.view.Index.Match(x.target.Path)
	return x.route.Idempotent && ok && match.Route.Idempotent
}

// authenticate finds the customer of a key.
func (ident *identity) authenticate(v View, key string) *reject.Rejection {
	ident.digest = document.KeyDigest(key)
	customer, id, ok := v.Index.Authenticate(ident.digest)
	if !ok {
		return reject.New(reject.KeyUnknown, "the key is not valid")
	}
	ident.customer, ident.id = customer.Name, id
	if !ident.anyService && !customer.AllowsService(ident.service) {
		return reject.New(reject.NotAllowed, "the customer may not use this service")
	}
	return nil
}
