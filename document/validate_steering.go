package document

import (
	"fmt"
	"net/netip"
)

func validateSteering(c *checker, doc *Document, services, customers, regions map[string]bool) {
	seen := map[string]bool{}
	capacity := regionCapacities(doc.Services)
	defaults := map[string]bool{}
	for i, r := range doc.Steering {
		field := fmt.Sprintf("steering[%d]", i)
		c.known(field+".service", "service", r.Service, services)
		if r.Customer != Wildcard {
			c.known(field+".customer", "customer", r.Customer, customers)
		}
		if r.From != Wildcard {
			c.known(field+".from", "region", r.From, regions)
		}
		c.unique(field, r.Service+"/"+r.Customer+"/"+r.From, seen)
		if r.Customer == Wildcard && r.From == Wildcard {
			defaults[r.Service] = true
		}
		validateWeights(c, field+".weights", r.Weights, regions)
		validateWeightedRegions(c, field+".weights", r, capacity)
	}
	for _, s := range sortedKeys(services) {
		if !defaults[s] {
			c.add("steering", "service %q has no default rule, with customer %q and from %q", s, Wildcard, Wildcard)
		}
	}
}

func regionCapacities(services []Service) map[string]map[string]float64 {
	capacities := make(map[string]map[string]float64, len(services))
	for _, s := range services {
		capacities[s.Name] = s.RegionCapacity
	}
	return capacities
}

func validateWeightedRegions(c *checker, field string, rule SteeringRule, capacity map[string]map[string]float64) {
	for _, region := range sortedKeys(rule.Weights) {
		if _, ok := capacity[rule.Service][region]; !ok && rule.Weights[region] > 0 {
			c.add(field+"."+region, "service %q has no region_capacity for %q", rule.Service, region)
		}
	}
}

func validateWeights(c *checker, field string, weights map[string]uint32, regions map[string]bool) {
	sum := uint64(0)
	for _, region := range sortedKeys(weights) {
		c.known(field+"."+region, "region", region, regions)
		sum += uint64(weights[region])
	}
	if sum != WeightSum {
		c.add(field, "the weights add up to %d instead of %d", sum, WeightSum)
	}
}

func validateClientBlocks(c *checker, blocks []ClientBlock, regions map[string]bool) {
	seen := make(map[netip.Prefix]bool, len(blocks))
	for i, b := range blocks {
		prefix, err := netip.ParsePrefix(b.CIDR)
		if err != nil || prefix.Masked() != prefix {
			c.add(fmt.Sprintf("client_blocks[%d].cidr", i), "%q is not a CIDR block without host bits", b.CIDR)
			continue
		}
		if seen[prefix] {
			c.add(fmt.Sprintf("client_blocks[%d].cidr", i), "duplicate block %q", b.CIDR)
		}
		seen[prefix] = true
		if !regions[b.Region] {
			c.add(fmt.Sprintf("client_blocks[%d].region", i), "unknown region %q", b.Region)
		}
	}
}
