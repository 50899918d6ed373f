package lookup

// Region is a region with the other regions in order of distance. Regions that
// Nearest leaves out follow in the order of the configuration.
type Region struct {
	Name    string
	Nearest []string
}

// regionsByDistance returns the names of all regions as seen from position at.
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
