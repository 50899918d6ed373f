package placement

// Query describes a request that is to be placed.
type Query struct {
	// Object is the hash of the object that it concerns, 0 for none.
	Object uint64
	// Rank is the urgency, 0 first. Urgency is that of the kind of request, which
	// decides among equal ranks.
	Rank, Urgency int
	// Regions bounds where it may go; empty means anywhere.
	Regions []string
	// Tried are the upstreams that it was offered to.
	Tried []string
	// counted is set once the request counts in the estimate of objects; room may be looked
	// for many times while it waits.
	counted bool
}

func (q *Query) allows(region string) bool { return len(q.Regions) == 0 || contains(q.Regions, region) }

// Compare orders queries by rank, then by urgency; the first to be served is negative.
func (q *Query) Compare(other *Query) int {
	if q.Rank != other.Rank {
		return q.Rank - other.Rank
	}
	return q.Urgency - other.Urgency
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
