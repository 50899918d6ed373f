package steering

// maxExcluded is the number of upstreams that a request can exclude.
const maxExcluded = 4

// Exclusion is the set of upstreams that a retry or hedge avoids. The zero value is
// empty. When the set is full, Add replaces the oldest entry.
type Exclusion struct {
	targets [maxExcluded]*Target
	n       int
}

// Add adds t to the set.
func (e *Exclusion) Add(t *Target) {
	e.targets[e.n%maxExcluded] = t
	e.n++
}

func (e *Exclusion) contains(t *Target) bool {
	if e == nil {
		return false
	}
	for _, x := range e.targets {
		if x == t {
			return true
		}
	}
	return false
}
