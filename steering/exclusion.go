package steering

// maxExcluded bounds the attempts of one request that can be told apart.
const maxExcluded = 4

// Exclusion is the set of upstreams that a retry or hedge avoids. The zero value
// is empty. When it is full, the oldest entry is replaced.
type Exclusion struct {
	targets [maxExcluded]*Target
	n       int
}

// Add puts t in the set.
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
