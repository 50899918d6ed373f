package control

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
)

const (
	// linkBurstShare and regionBurstShare are the shares of a cap that are granted as
	// burst; the rest is granted as rate. Over any window of at least 1 s, rate and
	// burst together then stay within the cap.
	linkBurstShare   = 0.05
	regionBurstShare = 0.1
	// minCustomerBurstTime is the time whose requests a customer may always send at once, and
	// minCustomerBurstRequests the least number of them: one for a VM in each of three regions. Depth that
	// rotates among the VMs loses its tokens.
	minCustomerBurstTime     = 100 * time.Millisecond
	minCustomerBurstRequests = 3
	// linkMinDepth is one read buffer, the largest amount taken at once.
	linkMinDepth = 64 << 10
)

// capsOfDocument returns all caps that result from a document and the list of
// upstreams.
func capsOfDocument(doc *document.Document, upstreams []inventory.Upstream) []grant.Cap {
	caps := make([]grant.Cap, 0, len(doc.Links)+len(doc.Customers)+2*len(upstreams)+8*len(doc.Services))
	for _, l := range doc.Links {
		limit := float64(l.BytesPerSecond)
		caps = append(caps, grant.Cap{
			Resource: grant.LinkID(l.From, l.To), Kind: apipb.ResourceKind_RESOURCE_KIND_RATE,
			Rate: limit * (1 - linkBurstShare), Burst: limit * linkBurstShare, MinDepth: linkMinDepth,
		})
	}
	for _, c := range doc.Customers {
		caps = append(caps, grant.Cap{
			Resource: grant.CustomerID(c.Name), Kind: apipb.ResourceKind_RESOURCE_KIND_RATE,
			Rate: c.Rate, Burst: max(c.Burst, MinCustomerBurst(c.Rate)),
		})
	}
	services := map[string]*document.Service{}
	for i := range doc.Services {
		s := &doc.Services[i]
		services[s.Name] = s
		caps = append(caps, regionCaps(s)...)
	}
	for _, u := range upstreams {
		if s := services[u.Service]; s != nil {
			caps = append(caps, unitCap(grant.SlotsID(u.ID), s.SlotsPerUpstream),
				unitCap(grant.ConnsID(u.ID), s.ConnectionsPerUpstream))
		}
	}
	return caps
}

// capsOfPlan returns the caps of a routing state: the rates of its customers. The
// slots of upstreams are not capped there, since a full upstream rejects requests
// itself.
func capsOfPlan(p *plan.Plan) []grant.Cap {
	var caps []grant.Cap
	for _, c := range p.Customers {
		if c.Rate > 0 {
			caps = append(caps, grant.Cap{
				Resource: grant.CustomerID(c.Name), Kind: apipb.ResourceKind_RESOURCE_KIND_RATE,
				Rate: c.Rate, Burst: max(c.Burst, MinCustomerBurst(c.Rate)),
			})
		}
	}
	return caps
}

// MinCustomerBurst returns the burst of a rate that is granted where the plan has less: buckets without depth
// admit nothing.
func MinCustomerBurst(rate float64) float64 {
	return max(minCustomerBurstRequests, rate*minCustomerBurstTime.Seconds())
}

func regionCaps(s *document.Service) []grant.Cap {
	caps := make([]grant.Cap, 0, len(s.RegionCapacity))
	for region, limit := range s.RegionCapacity {
		caps = append(caps, grant.Cap{
			Resource: grant.RegionID(region, s.Name), Kind: apipb.ResourceKind_RESOURCE_KIND_RATE,
			Rate: limit * (1 - regionBurstShare), Burst: limit * regionBurstShare,
		})
	}
	return caps
}

func unitCap(id grant.ResourceID, units uint32) grant.Cap {
	return grant.Cap{Resource: id, Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: units}
}
