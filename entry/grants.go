package entry

import "pistachiomount.example/pistachiomount/grant"

// linkKey names one direction between two regions.
type linkKey struct{ from, to string }

// regionKey names a service in a region.
type regionKey struct{ region, service string }

// grants keeps the buckets and units of the holder by plain names, so that a
// request builds no resource names.
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
	return g.customers.loadOrMake(name, func(name string) *grant.Bucket {
		return g.holder.Bucket(grant.CustomerID(name))
	})
}

func (g *grants) region(region, service string) *grant.Bucket {
	return g.regions.loadOrMake(regionKey{region, service}, func(k regionKey) *grant.Bucket {
		return g.holder.Bucket(grant.RegionID(k.region, k.service))
	})
}

func (g *grants) link(from, to string) *grant.Bucket {
	return g.links.loadOrMake(linkKey{from, to}, func(k linkKey) *grant.Bucket {
		return g.holder.Bucket(grant.LinkID(k.from, k.to))
	})
}

func (g *grants) slot(upstream string) *grant.Units { return g.slots.get(upstream) }

func (g *grants) conn(upstream string) *grant.Units { return g.conns.get(upstream) }

// forgetCustomer hands back the rate of a customer that left the document.
func (g *grants) forgetCustomer(name string) {
	g.customers.remove(name)
	g.holder.Remove(grant.CustomerID(name))
}

// forgetUpstream hands back the slots and connections of an upstream that is gone.
func (g *grants) forgetUpstream(id string) {
	g.slots.forget(id)
	g.conns.forget(id)
}

// forgetService hands back the rates of a service that left the document.
func (g *grants) forgetService(k regionKey) {
	g.regions.remove(k)
	g.holder.Remove(grant.RegionID(k.region, k.service))
}

// held counts the resources with a valid grant by kind.
func (g *grants) held() map[string]int {
	return map[string]int{
		"customer": heldRates(&g.customers), "region": heldRates(&g.regions), "link": heldRates(&g.links),
		"slots": g.slots.held(), "conns": g.conns.held(),
	}
}

func heldRates[K comparable](m *cowMap[K, *grant.Bucket]) int {
	n := 0
	for _, key := range m.keys() {
		if b, ok := m.load(key); ok && b.Depth() > 0 {
			n++
		}
	}
	return n
}
