package grant

import "pistachiomount.example/pistachiomount/apipb"

// ResourceID is the name of a resource with a fleet-wide cap.
type ResourceID string

// LinkID returns the name of the resource that limits the bytes per second from one region to another.
func LinkID(from, to string) ResourceID { return ResourceID("link/" + from + "/" + to) }

// RegionID returns the name of the resource that limits the requests per second that a service may send to a region.
func RegionID(region, service string) ResourceID {
	return ResourceID("region/" + region + "/" + service)
}

// SlotsID returns the name of the resource that limits the concurrent requests at an upstream.
func SlotsID(upstream string) ResourceID { return ResourceID("slots/" + upstream) }

// ConnsID returns the name of the resource that limits the connections to an upstream.
func ConnsID(upstream string) ResourceID { return ResourceID("conns/" + upstream) }

// CustomerID returns the name of the resource that limits the requests per second of a customer.
func CustomerID(customer string) ResourceID { return ResourceID("customer/" + customer) }

// Cap is the limit of one resource across the whole fleet.
type Cap struct {
	Resource ResourceID
	Kind     apipb.ResourceKind
	// Rate (per second) and Burst (in tokens) apply to resources of kind rate.
	Rate, Burst float64
	// MinDepth is the smallest useful depth of one holder, which is the largest amount taken at
	// once: 1 for requests (the default), the size of a read buffer for links.
	MinDepth float64
	// Units applies to resources of kind units.
	Units uint32
}

func (c Cap) minDepth() float64 {
	if c.MinDepth > 0 {
		return c.MinDepth
	}
	return 1
}
