package entry

import (
	"sync"

	"pistachiomount.example/pistachiomount/grant"
)

// linkKey names one direction between two regions.
type linkKey struct{ from, to string }

// regionKey names a service in a region.
type regionKey struct{ region, service string }

// grants adapts the grants of the holder to the request path. The pointers to
// buckets and units are kept by plain names, so that a request builds no
// resource names.
type grants struct {
	holder *grant.Holder

	customers sync.Map // string -> *grant.Bucket
	regions   sync.Map // regionKey -> *grant.Bucket
	links     sync.Map // linkKey -> *grant.Bucket
	slots     sync.Map // string -> *grant.Units
	conns     sync.Map // string -> *grant.Units
}

func bucketOf[K comparable](m *sync.Map, key K, make func() *grant.Bucket) *grant.Bucket {
	if found, ok := m.Load(key); ok {
		return found.(*grant.Bucket)
	}
	actual, _ := m.LoadOrStore(key, make())
	return actual.(*grant.Bucket)
}

func (g *grants) customer(name string) *grant.Bucket {
	return bucketOf(&g.customers, name, func() *grant.Bucket { return g.holder.Bucket(grant.CustomerID(name)) })
}

func (g *grants) region(region, service string) *grant.Bucket {
	return bucketOf(&g.regions, regionKey{region, service}, func() *grant.Bucket {
		return g.holder.Bucket(grant.RegionID(region, service))
	})
}

func (g *grants) link(from, to string) *grant.Bucket {
	return bucketOf(&g.links, linkKey{from, to}, func() *grant.Bucket { return g.holder.Bucket(grant.LinkID(from, to)) })
}

func (g *grants) slot(upstream string) *grant.Units {
	return unitsOf(&g.slots, upstream, func() *grant.Units { return g.holder.Units(grant.SlotsID(upstream)) })
}

func (g *grants) conn(upstream string) *grant.Units {
	return unitsOf(&g.conns, upstream, func() *grant.Units { return g.holder.Units(grant.ConnsID(upstream)) })
}

func unitsOf(m *sync.Map, upstream string, make func() *grant.Units) *grant.Units {
	if found, ok := m.Load(upstream); ok {
		return found.(*grant.Units)
	}
	actual, _ := m.LoadOrStore(upstream, make())
	return actual.(*grant.Units)
}

// forgetCustomer hands back the rate of a customer that left the document.
func (g *grants) forgetCustomer(name string) {
	g.customers.Delete(name)
	g.holder.Forget(grant.CustomerID(name))
}

// forgetUpstream hands back the slots and connections of an upstream that is gone.
func (g *grants) forgetUpstream(id string) {
	g.slots.Delete(id)
	g.conns.Delete(id)
	g.holder.Forget(grant.SlotsID(id))
	g.holder.Forget(grant.ConnsID(id))
}
