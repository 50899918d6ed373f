package document

import (
	"fmt"
	"strings"
)

// reservedCustomer is the customer name under which requests of public routes are
// counted.
const reservedCustomer = "public"

func validateCustomers(c *checker, customers []Customer, services map[string]bool) map[string]bool {
	names, digests := map[string]bool{}, map[string]bool{}
	for i, cu := range customers {
		field := fmt.Sprintf("customers[%d]", i)
		c.name(field+".name", cu.Name)
		c.unique(field+".name", cu.Name, names)
		if cu.Name == reservedCustomer {
			c.add(field+".name", "%q is reserved for public routes", reservedCustomer)
		}
		c.positive(field+".rate", cu.Rate)
		if !(cu.Burst >= 1) {
			c.add(field+".burst", "%v is not allowed: the burst must be 1 or more", cu.Burst)
		}
		c.positive(field+".weight", cu.Weight)
		c.notEmpty(field+".services", len(cu.Services))
		for j, s := range cu.Services {
			c.known(fmt.Sprintf("%s.services[%d]", field, j), "service", s, services)
		}
		validateKeys(c, field, cu.Keys, digests)
	}
	return names
}

func validateKeys(c *checker, field string, keys []Key, digests map[string]bool) {
	ids := map[string]bool{}
	for i := range keys {
		keyField := fmt.Sprintf("%s.keys[%d]", field, i)
		c.name(keyField+".id", keys[i].ID)
		c.unique(keyField+".id", keys[i].ID, ids)
		if _, ok := keys[i].digest(); !ok {
			c.add(keyField+".sha256", "must be a SHA-256 digest of 64 hexadecimal digits")
			continue
		}
		digest := strings.ToLower(keys[i].SHA256)
		if digests[digest] {
			c.add(keyField+".sha256", "another key has the same digest")
		}
		digests[digest] = true
	}
}
