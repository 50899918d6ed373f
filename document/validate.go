package document

import "fmt"

// validate returns the problems of a decoded document.
func validate(doc *Document, loc locator) []Problem {
	c := &checker{locator: loc}
	c.name("deployment", doc.Deployment)
	if doc.Number == 0 {
		c.add("number", "must be 1 or more")
	}
	regions := validateRegions(c, doc.Regions)
	services := validateServices(c, doc.Services, regions)
	customers := validateCustomers(c, doc.Customers, services)
	validateLinks(c, doc.Links, regions)
	validateSteering(c, doc, services, customers, regions)
	if doc.Shift.PointsPerSecond < 0 || doc.Shift.PointsPerSecond > WeightSum {
		c.add("shift.points_per_second", "must be above 0 and at most %d", WeightSum)
	}
	validateClientBlocks(c, doc.ClientBlocks, regions)
	validateDrains(c, doc.Drains, regions)
	return c.problems
}

func validateRegions(c *checker, regions []Region) map[string]bool {
	c.notEmpty("regions", len(regions))
	names, domains := map[string]bool{}, map[string]bool{}
	for i, r := range regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.name(field+".name", r.Name)
		c.unique(field+".name", r.Name, names)
		c.notEmpty(field+".failure_domains", len(r.FailureDomains))
		for j, fd := range r.FailureDomains {
			fdField := fmt.Sprintf("%s.failure_domains[%d]", field, j)
			c.name(fdField, fd)
			c.unique(fdField, fd, domains)
		}
	}
	return names
}

func validateLinks(c *checker, links []Link, regions map[string]bool) {
	seen := map[string]bool{}
	for i, l := range links {
		field := fmt.Sprintf("links[%d]", i)
		c.known(field+".from", "region", l.From, regions)
		c.known(field+".to", "region", l.To, regions)
		if l.From == l.To {
			c.add(field+".to", "a link must connect two different regions")
		}
		c.unique(field+".to", l.From+"/"+l.To, seen)
		c.positive(field+".bytes_per_second", float64(l.BytesPerSecond))
	}
	for from := range regions {
		for to := range regions {
			if from != to && !seen[from+"/"+to] {
				c.add("links", "no link from %q to %q: every direction between two regions needs a link", from, to)
			}
		}
	}
}

func validateDrains(c *checker, drains []Drain, regions map[string]bool) {
	drained, seen := map[string]bool{}, map[string]bool{}
	for i, d := range drains {
		field := fmt.Sprintf("drains[%d]", i)
		if (d.Region == "") == (d.Upstream == "") {
			c.add(field, "set exactly one of region and upstream")
			continue
		}
		c.unique(field, d.Region+"/"+d.Upstream, seen)
		if d.Region != "" {
			c.known(field+".region", "region", d.Region, regions)
			drained[d.Region] = true
		}
	}
	if len(regions) > 0 && len(drained) >= len(regions) {
		c.add("drains", "every region is drained: at least one must remain")
	}
}
