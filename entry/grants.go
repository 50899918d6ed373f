package entry

import "pistachiomount.example/pistachiomount/grant"

// linkKey identifies one direction of a link between two regions.
type linkKey struct{ from, to string }

// regionKey identifies a service in a region.
type regionKey struct{ region, service string }

// grants caches the buckets and units of the holder under plain names, so that
// requests need not build resource names.
type grants struct {
	holder *grant.Holder

	customers cowMap[string, *grant.Bucket]
	regions   cowMap[regionKey, *grant.Bucket]
	links     cowMap[linkKey, *grant.Bucket]
	slots     upstreamUnits
	conns     upstreamUnits
}

func newGrants(holder *grant.Holder) *grants {
	return &grants{
		holder: holder,
		slots:  upstreamUnits{holder: holder, id: grant.SlotsID},
		conns:  upstreamUnits{holder: holder, id: grant.ConnsID},
	}
}

func (g *grants) customer(name string) *grant.Bucket {
	return g.customers.loadOrCreate(name, func(name string) *grant.Bucket {
		return g.holder.Bucket(grant.CustomerID(name))
	})
}

func (g *grants) region(region, service string) *grant.Bucket {
	return g.regions.loadOrCreate(regionKey{region, service}, func(k regionKey) *grant.Bucket {
		return g.holder.Bucket(grant.RegionID(k.region, k.service))
	})
}

func (g *grants) link(from, to string) *grant.Bucket {
	return g.links.loadOrCreate(linkKey{from, to}, func(k linkKey) *grant.Bucket {
		return g.holder.Bucket(grant.LinkID(k.from, k.to))
	})
}

func (g *grants) slot(upstream string) *grant.Units { return g.slots.get(upstream) }

func (g *grants) conn(upstream string) *grant.Units { return g.conns.get(upstream) }

// releaseCustomer releases the rate of a customer that was removed from the document.
func (g *grants) releaseCustomer(name string) {
	g.customers.remove(name)
	g.holder.Remove(grant.CustomerID(name))
}

// releaseUpstream releases the slots and connections of a removed upstream.
func (g *grants) releaseUpstream(id string) {
	g.slots.forget(id)
	g.conns.forget(id)
}

// releaseService releases the rate of a service in a region after the service was
// removed from the document.
func (g *grants) releaseService(k regionKey) {
	g.regions.remove(k)
	g.holder.Remove(grant.RegionID(k.region, k.service))
}

// heldByKind returns the number of resources with a valid grant by kind.
func (g *grants) heldByKind() map[string]int {
	return map[string]int{
		"customer": countGrantedRates(&g.customers), "region": countGrantedRates(&g.regions), "link": countGrantedRates(&g.links),
		"slots": g.slots.held(), "conns": g.conns.held(),
	}
}

func countGrantedRates[K comparable](m *cowMap[K, *grant.Bucket]) int {
	n := 0
	for _, key := range m.keys() {
		if b, ok := m.load(key); ok && b.Depth() > 0 {
			n++
		}
	}
	return n
}
