package announce

import (
	"cmp"
	"strings"
	"time"
)

// Notice is what one upstream has announced, as exchanged between VMs. The times are zero if there was
// no such response.
type Notice struct {
	Upstream  string
	RateLimit float64
	// LimitedAt and UnlimitedAt are when a response last named a limit, and last named none.
	LimitedAt, UnlimitedAt time.Time
	// LeavingSince is when a response first said that the upstream leaves.
	LeavingSince time.Time
	// Pace is how far the upstream has progressed to its full share after a start or a recovery, up to 1; 0
	// if it is not paced.
	Pace float64
	// RejectionRate is the part of its requests that the upstream rejects although it has free slots; 0 if that is
	// not known. Merged notices have the mean of the VMs that report one, since the largest of many estimates from
	// few requests each would be far too high.
	RejectionRate float64
	// rejectionReports is the number of VMs in the mean; 0 counts as one.
	rejectionReports int
}

// Merge adds what another VM has heard of the same upstream: the latest responses count.
func (n Notice) Merge(other Notice) Notice {
	if other.LimitedAt.After(n.LimitedAt) {
		n.LimitedAt, n.RateLimit = other.LimitedAt, other.RateLimit
	}
	if other.UnlimitedAt.After(n.UnlimitedAt) {
		n.UnlimitedAt = other.UnlimitedAt
	}
	if other.LeavingSince.After(n.LeavingSince) { // of the latest run
		n.LeavingSince = other.LeavingSince
	}
	if other.Pace > 0 && (n.Pace == 0 || other.Pace < n.Pace) { // the most careful VM counts
		n.Pace = other.Pace
	}
	n.mergeRejections(other)
	return n
}

// mergeRejections adds the rejection rate of another notice to the mean.
func (n *Notice) mergeRejections(other Notice) {
	switch {
	case other.RejectionRate == 0:
		return
	case n.RejectionRate == 0:
		n.RejectionRate, n.rejectionReports = other.RejectionRate, other.rejectionReports
		return
	}
	own, others := float64(max(n.rejectionReports, 1)), float64(max(other.rejectionReports, 1))
	n.RejectionRate = (own*n.RejectionRate + others*other.RejectionRate) / (own + others)
	n.rejectionReports = int(own + others)
}

// compare orders notices by their importance when not all can be sent: what was announced latest, then
// the highest rejection rates. The order is the same at all VMs.
func (n Notice) compare(other Notice) int {
	return cmp.Or(other.latest().Compare(n.latest()), cmp.Compare(other.RejectionRate, n.RejectionRate), strings.Compare(n.Upstream, other.Upstream))
}

// latest returns when a response last changed the notice.
func (n Notice) latest() time.Time {
	latest := n.LimitedAt
	for _, at := range []time.Time{n.UnlimitedAt, n.LeavingSince} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// limited reports whether the upstream names a limit: responses on several connections may overtake each
// other, so one without a limit counts only some time after the last with one.
func (n Notice) limited() bool {
	return !n.LimitedAt.IsZero() && n.UnlimitedAt.Sub(n.LimitedAt) < limitEndDelay
}

// Since returns the notice without what was announced before a time.
func (n Notice) Since(start time.Time) Notice {
	if !n.LimitedAt.After(start) {
		n.LimitedAt, n.RateLimit = time.Time{}, 0
	}
	if !n.LeavingSince.After(start) {
		n.LeavingSince = time.Time{}
	}
	return n
}

// InForce reports whether the upstream leaves or names a limit.
func (n Notice) InForce() bool { return n.limited() || !n.LeavingSince.IsZero() }
