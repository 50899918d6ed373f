package placement

// Query describes a request that is to be placed.
type Query struct {
	// Object is the hash of the object that it concerns, 0 for none.
	Object uint64
	// Rank is the urgency, 0 first.
	Rank int
	// Regions bounds where it may go; empty means anywhere.
	Regions []string
	// Tried are the upstreams that it was offered to.
	Tried []string
}

func (q *Query) allows(region string) bool { return len(q.Regions) == 0 || contains(q.Regions, region) }

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
