package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/grant"
)

const (
	// MaxViewAge is the revocation bound: a view that was confirmed longer ago is not
	// used for requests that need a key. It leaves half of the 8 s within which a change
	// must be in force on all VMs.
	MaxViewAge = 4 * time.Second
	// maxClockDrift is the largest relative difference in speed between the clocks of two VMs.
	maxClockDrift = 0.02
	// maxPollWait is how long a control daemon may hold a poll open.
	maxPollWait = time.Second
	// pollTimeout bounds a poll: maxPollWait plus a round trip between regions.
	pollTimeout = 1500 * time.Millisecond
	// maxConfirmedAge is the age of a control daemon's own confirmation above which the
	// daemon counts as partitioned from the majority.
	maxConfirmedAge = 2 * time.Second
	// retryDelay is the delay after a failed poll or renewal.
	retryDelay = 100 * time.Millisecond
	// renewTimeout bounds a renewal, so that two can fail before a lease ends.
	renewTimeout = 900 * time.Millisecond
	// renewCheckInterval is how often the renewer checks whether a renewal is due.
	renewCheckInterval = 50 * time.Millisecond
	// maxSlotWait bounds the wait of a request at a VM that holds no slot: time for an
	// early renewal and a round trip between regions.
	maxSlotWait = 500 * time.Millisecond
	// commandTimeout bounds a claim or another command that needs a commit, over all
	// attempts.
	commandTimeout = 6 * time.Second
	// tickInterval is the interval at which ramps, estimates and ejections advance.
	tickInterval = 100 * time.Millisecond
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL = 5 * time.Second
	// handoverTime is how long a stopping VM is still named to callers, so that others hold
	// the grants for them before they come: one round of renewals in which holders release
	// what they have too much, one in which the successors get it, and a late reply.
	handoverTime = 2*grant.RenewInterval + renewTimeout
	// stopMargin is added to LookupTTL before a stopping daemon closes its listener.
	// Other VMs name it until their next renewal, which begins up to 1 s later and is
	// answered up to 0.9 s after that, and a caller's request may be in transit for 1 s.
	stopMargin = 3 * time.Second
	// maxStartRenewals is the number of renewals after which a starting VM serves even
	// if it holds no slot.
	maxStartRenewals = 10
	// jobInterval is how often the job runner looks for spare capacity.
	jobInterval = 250 * time.Millisecond
	// maxJobDelay bounds the growing delay after jobs that could not run and were
	// requeued. Each attempt costs two commits.
	maxJobDelay = 8 * time.Second
)
