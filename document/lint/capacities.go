package lint

import (
	"fmt"

	"pistachiomount.example/pistachiomount/document"
)

// checkCapacities reports rates of customers that capacities cannot carry. A customer may use its whole rate for one service.
func (l *linter) checkCapacities() {
	total := map[string]float64{}
	for i := range l.doc.Services {
		s := &l.doc.Services[i]
		total[s.Name] = l.totalCapacity(s)
		path := fmt.Sprintf("services[%d].region_capacity", i)
		if rates := l.ratesOf(s.Name); exceeds(rates, total[s.Name]) {
			l.warn(CodeRatesAboveCapacity, path, "the rates of the customers of service %q add up to %v, its regions that are not drained carry %v", s.Name, rates, total[s.Name])
		}
		l.checkRegionCapacities(path, s)
	}
	for i, c := range l.doc.Customers {
		capacity := 0.0
		for _, service := range uniqueStrings(c.Services) {
			capacity += total[service]
		}
		if exceeds(c.Rate, capacity) {
			l.warn(CodeRateAboveCapacity, fmt.Sprintf("customers[%d].rate", i), "%v is above %v, the capacity of all services that the customer may use", c.Rate, capacity)
		}
	}
}

// exceeds compares sums, whose rounding must not count.
func exceeds(sum, limit float64) bool { return sum > limit*(1+1e-9) }

// totalCapacity returns the capacity of the regions that are not drained.
func (l *linter) totalCapacity(s *document.Service) float64 {
	sum := 0.0
	for region, capacity := range s.RegionCapacity {
		if !l.drained[region] {
			sum += capacity
		}
	}
	return sum
}

func (l *linter) ratesOf(service string) float64 {
	sum := 0.0
	for _, c := range l.customers[service] {
		sum += c.Rate
	}
	return sum
}

// checkRegionCapacities reports regions that get more than their capacity if all customers use their rates, in whatever
// regions the callers enter: each customer counts with the least weight of its rules.
func (l *linter) checkRegionCapacities(path string, s *document.Service) {
	for _, region := range l.doc.Regions {
		capacity, ok := s.RegionCapacity[region.Name]
		if !ok || l.drained[region.Name] {
			continue
		}
		sent := 0.0
		for _, c := range l.customers[s.Name] {
			sent += c.Rate * l.leastWeight(s.Name, c.Name, region.Name)
		}
		if exceeds(sent, capacity) {
			l.warn(CodeRegionAboveCapacity, path+"."+region.Name, "the steering rules send at least %v of the customers' rates to the region, which carries %v", sent, capacity)
		}
	}
}

// leastWeight returns the least part of a customer's requests that goes to a region, over all regions in which callers enter.
func (l *linter) leastWeight(service, customer, to string) float64 {
	least := 1.0
	for _, from := range l.doc.Regions {
		least = min(least, l.rules.weight(service, customer, from.Name, to))
	}
	return least
}
