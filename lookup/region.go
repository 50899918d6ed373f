package lookup

// Region is a region and the names of other regions by distance, nearest first.
// Regions missing from Nearest follow in the order of the configuration.
type Region struct {
	Name    string
	Nearest []string
}

// regionsByDistance returns the names of all regions, starting with regions[at] and
// ordered by distance from it.
func regionsByDistance(regions []Region, at int) []string {
	out := []string{regions[at].Name}
	seen := map[string]bool{regions[at].Name: true}
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, name := range regions[at].Nearest {
		add(name)
	}
	for i := range regions {
		add(regions[(at+i)%len(regions)].Name)
	}
	return out
}
