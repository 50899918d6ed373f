package lint

import "fmt"

// checkRegions reports regions to which nothing refers.
func (l *linter) checkRegions() {
	used := map[string]bool{}
	for _, s := range l.doc.Services {
		for region := range s.RegionCapacity {
			used[region] = true
		}
	}
	for _, r := range l.doc.Steering {
		used[r.From] = true
		for region := range r.Weights {
			used[region] = true
		}
	}
	for _, b := range l.doc.ClientBlocks {
		used[b.Region] = true
	}
	for i, r := range l.doc.Regions {
		if !used[r.Name] {
			l.warn(CodeRegionUnused, fmt.Sprintf("regions[%d]", i), "no region_capacity, steering rule or client block names region %q", r.Name)
		}
	}
}
