package admission

import "time"

const (
	// minReturn is the least time until a caller comes back. A slot is freed every few
	// milliseconds in a region under full load; an earlier return would find the same.
	minReturn = 30 * time.Millisecond
	// returnSpread is the least span over which returns are spread, so that callers that
	// were refused together do not return together.
	returnSpread = 100 * time.Millisecond
	// outageReturn is the least time until a caller comes back to a VM that cannot serve
	// anyone yet. After a restart of all VMs that takes 1.5 to 3 s, mostly for an election.
	outageReturn = 500 * time.Millisecond
	// honouredShare is the share of the time left for which callers are ready to wait.
	honouredShare = 1.0 / 3
)

// Refused describes a request that is turned away.
type Refused struct {
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Spare is how much later the request could start and still be answered in time.
	Spare time.Duration
}

// AfterFull returns when the caller of a request that found no room comes back: while
// an answer can still be in time, since a shortage of slots within the wait of a
// request is mostly one of moments. It is spread by u, a random number from 0 to 1.
func AfterFull(r Refused, u float64) time.Duration {
	return between(minReturn, max(r.Spare, minReturn+returnSpread), r.Left, u)
}

// AfterOutage returns when a caller comes back to a VM that serves nobody yet: as late
// as it is ready to, since an earlier return would be refused as well.
func AfterOutage(r Refused, u float64) time.Duration {
	return between(outageReturn, time.Duration(float64(r.Left)*honouredShare), r.Left, u)
}

// AfterRate returns when a customer above its rate comes back: when a token is likely
// to be there, and spread over as long again.
func AfterRate(r Refused, wait time.Duration, u float64) time.Duration {
	wait = max(wait, minReturn)
	return between(wait, 2*wait, r.Left, u)
}

// between spreads returns from the first to the last time, as far as callers wait.
func between(first, last, left time.Duration, u float64) time.Duration {
	honoured := max(time.Duration(float64(left)*honouredShare), minReturn)
	last = min(last, honoured)
	first = min(first, max(last/2, minReturn)) // so that those with little time left are spread too
	return first + time.Duration(u*float64(max(last-first, 0)))
}
