package lint

import (
	"fmt"
	"maps"
	"slices"

	"pistachiomount.example/pistachiomount/document"
)

// checkRules reports steering rules without effect.
func (l *linter) checkRules() {
	applied, needed := l.usedRules()
	for i, r := range l.doc.Steering {
		path := fmt.Sprintf("steering[%d]", i)
		isDefault := r.Customer == document.Wildcard && r.From == document.Wildcard
		switch {
		case l.isForbidden(r):
			l.warn(CodeRuleNotAllowed, path, "customer %q may not use service %q", r.Customer, r.Service)
		case isDefault || l.isUnused(r.Service): // required, or reported with the service
		case !applied[i]:
			l.warn(CodeRuleHidden, path, "more specific rules apply to all requests that it matches")
		case !needed[i]:
			l.warn(CodeRuleRedundant, path, "the rules that apply without it have the same weights")
		}
		l.checkWeights(path, r)
	}
}

// usedRules returns the rules that apply to some request, and those of them without which other weights would apply.
func (l *linter) usedRules() (applied, needed map[int]bool) {
	applied, needed = map[int]bool{}, map[int]bool{}
	for i := range l.doc.Services {
		s := &l.doc.Services[i]
		for _, customer := range l.callers(s) {
			for _, from := range l.doc.Regions {
				m := l.rules.matching(s.Name, customer, from.Name)
				applied[m[0]] = true
				if len(m) == 1 || !maps.Equal(l.doc.Steering[m[0]].Weights, l.doc.Steering[m[1]].Weights) {
					needed[m[0]] = true
				}
			}
		}
	}
	return applied, needed
}

// isForbidden reports a rule for a customer that may not use the service.
func (l *linter) isForbidden(r document.SteeringRule) bool {
	return r.Customer != document.Wildcard &&
		!slices.ContainsFunc(l.customers[r.Service], func(c *document.Customer) bool { return c.Name == r.Customer })
}

// isUnused reports whether no request reaches the service.
func (l *linter) isUnused(service string) bool {
	i := slices.IndexFunc(l.doc.Services, func(s document.Service) bool { return s.Name == service })
	return len(l.callers(&l.doc.Services[i])) == 0
}

// checkWeights reports regions of a rule that can get no request. Regions with weight 0 get those of the others once all of
// them are drained.
func (l *linter) checkWeights(path string, r document.SteeringRule) {
	open := false
	for _, region := range slices.Sorted(maps.Keys(r.Weights)) {
		open = open || !l.drained[region]
		if r.Weights[region] == 0 && l.capacity(r.Service, region) == 0 {
			l.warn(CodeZeroWeight, path+".weights."+region, "service %q has no region_capacity for %q, so that it gets nothing when the other regions are drained", r.Service, region)
		}
	}
	if !open {
		l.warn(CodeRuleDrained, path+".weights", "all its regions are drained, so that the requests are rejected")
	}
}

// capacity returns the capacity of a service in a region, 0 if it has none.
func (l *linter) capacity(service, region string) float64 {
	for _, s := range l.doc.Services {
		if s.Name == service {
			return s.RegionCapacity[region]
		}
	}
	return 0
}
