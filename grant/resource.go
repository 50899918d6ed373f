package grant

import "pistachiomount.example/pistachiomount/apipb"

// ResourceID names one shared cap.
type ResourceID string

// LinkID names the bytes per second from one region to another.
func LinkID(from, to string) ResourceID { return ResourceID("link/" + from + "/" + to) }

// RegionID names the requests per second that a service may send to a region.
func RegionID(region, service string) ResourceID {
	return ResourceID("region/" + region + "/" + service)
}

// SlotsID names the concurrent requests at an upstream.
func SlotsID(upstream string) ResourceID { return ResourceID("slots/" + upstream) }

// ConnsID names the connections to an upstream.
func ConnsID(upstream string) ResourceID { return ResourceID("conns/" + upstream) }

// CustomerID names the requests per second of a customer.
func CustomerID(customer string) ResourceID { return ResourceID("customer/" + customer) }

// Cap is the limit of one resource over the whole fleet.
type Cap struct {
	Resource ResourceID
	Kind     apipb.ResourceKind
	// Rate and Burst apply to rates, per second and in tokens.
	Rate, Burst float64
	// MinDepth is the smallest useful depth of one holder, the largest amount
	// taken at once: 1 for requests (the default), one read buffer for links.
	MinDepth float64
	// Units applies to units.
	Units uint32
}

func (c Cap) minDepth() float64 {
	if c.MinDepth > 0 {
		return c.MinDepth
	}
	return 1
}
