package steering

import "maps"

// nameSet holds the customers and caller regions that the rules of each service name,
// including wildcards. Requests with other names share the class of the wildcard.
type nameSet struct {
	customers     map[string]map[string]bool // by service
	callerRegions map[string]map[string]bool
}

func newNameSet() *nameSet {
	return &nameSet{customers: make(map[string]map[string]bool), callerRegions: make(map[string]map[string]bool)}
}

func (n *nameSet) add(k classKey) {
	if n.customers[k.service] == nil {
		n.customers[k.service] = map[string]bool{Wildcard: true}
		n.callerRegions[k.service] = map[string]bool{Wildcard: true}
	}
	n.customers[k.service][k.customer] = true
	n.callerRegions[k.service][k.from] = true
}

func (n *nameSet) contains(k classKey) bool {
	return n.customers[k.service][k.customer] && n.callerRegions[k.service][k.from]
}

func (n *nameSet) clone() *nameSet {
	out := newNameSet()
	for service := range n.customers {
		out.customers[service] = maps.Clone(n.customers[service])
		out.callerRegions[service] = maps.Clone(n.callerRegions[service])
	}
	return out
}

// keys returns every combination of customer and caller region of each service.
func (n *nameSet) keys() map[classKey]bool {
	keys := make(map[classKey]bool)
	for service := range n.customers {
		for customer := range n.customers[service] {
			for from := range n.callerRegions[service] {
				keys[classKey{service, customer, from}] = true
			}
		}
	}
	return keys
}
