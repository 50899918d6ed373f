package placement

// Query describes a request for which an upstream is selected.
type Query struct {
	// Object is the hash of the object that the request is about, 0 for none.
	Object uint64
	// Rank is the priority class, 0 is served first. Urgency is the priority of the kind of
	// request, which decides between equal ranks.
	Rank, Urgency int
	// Regions are the regions that the request may be sent to; empty means any.
	Regions []string
	// Tried are the IDs of the upstreams that were tried already.
	Tried []string
	// Rejected is set if an upstream that has free slots has rejected the request.
	Rejected bool
	// Slack is the time left until the target of the request, as a multiple of the route's average response time; 0 if
	// unknown.
	Slack float64
	// counted is set once the request is included in the object estimate, since Pick may be called
	// many times while it waits.
	counted bool
	// displaced is set while no upstream that caches the object may take it because all are paced.
	displaced bool
	// slowHolder is set if the latest choice passed over an upstream that caches the object because it is slow.
	slowHolder bool
	// preferenceRecorded is set once the region that the request prefers is recorded.
	preferenceRecorded bool
}

func (q *Query) allows(region string) bool { return len(q.Regions) == 0 || contains(q.Regions, region) }

// Compare orders queries by rank, then by urgency. The result is negative if q is served first.
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
