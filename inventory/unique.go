package inventory

// Unique returns the list with one entry for each id: the first of those whose service is named, or the
// first of all. An entry of another writer may have the id of an upstream.
func Unique(list []Upstream, named func(service string) bool) []Upstream {
	unique := make([]Upstream, 0, len(list))
	positions := make(map[string]int, len(list))
	for _, u := range list {
		at, found := positions[u.ID]
		switch {
		case !found:
			positions[u.ID] = len(unique)
			unique = append(unique, u)
		case !named(unique[at].Service) && named(u.Service):
			unique[at] = u
		}
	}
	return unique
}
