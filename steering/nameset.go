package steering

import "maps"

// nameSet holds the customers and caller regions of each service, wildcards
// included. Names outside of it share the leaf of the wildcard.
type nameSet struct {
	customers map[string]map[string]bool // by service
	froms     map[string]map[string]bool
}

func newNameSet() *nameSet {
	return &nameSet{customers: make(map[string]map[string]bool), froms: make(map[string]map[string]bool)}
}

func (n *nameSet) add(k leafKey) {
	if n.customers[k.service] == nil {
		n.customers[k.service] = map[string]bool{Wildcard: true}
		n.froms[k.service] = map[string]bool{Wildcard: true}
	}
	n.customers[k.service][k.customer] = true
	n.froms[k.service][k.from] = true
}

func (n *nameSet) contains(k leafKey) bool {
	return n.customers[k.service][k.customer] && n.froms[k.service][k.from]
}

func (n *nameSet) clone() *nameSet {
	out := newNameSet()
	for service := range n.customers {
		out.customers[service] = maps.Clone(n.customers[service])
		out.froms[service] = maps.Clone(n.froms[service])
	}
	return out
}

// keys returns every combination of the names of a service.
func (n *nameSet) keys() map[leafKey]bool {
	keys := make(map[leafKey]bool)
	for service := range n.customers {
		for customer := range n.customers[service] {
			for from := range n.froms[service] {
				keys[leafKey{service, customer, from}] = true
			}
		}
	}
	return keys
}
