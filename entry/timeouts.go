package entry

import "time"

const (
	// MaxViewAge is the revocation bound: a view that was confirmed longer ago is
	// not used for requests that need a key. It leaves half of the 8 s in which a
	// change must be in force everywhere.
	MaxViewAge = 4 * time.Second
	// maxPollWait is how long a control daemon may hold a poll.
	maxPollWait = time.Second
	// pollTimeout bounds a poll: the wait and a round trip between regions.
	pollTimeout = 1500 * time.Millisecond
	// maxConfirmedAge is the age at which the confirmation of a control daemon
	// shows that it is cut off from the majority.
	maxConfirmedAge = 2 * time.Second
	// retryDelay is the pause after a failed poll or renewal.
	retryDelay = 100 * time.Millisecond
	// renewTimeout bounds a renewal, so that two fail before a lease ends.
	renewTimeout = 900 * time.Millisecond
	// renewCheckInterval is how often the holder is asked whether a renewal is due.
	renewCheckInterval = 50 * time.Millisecond
	// maxSlotWait is how long a request waits at a VM that holds no slot: an early
	// renewal and a round trip between regions.
	maxSlotWait = 500 * time.Millisecond
	// commandTimeout bounds a claim or another command that needs a commit.
	commandTimeout = 6 * time.Second
	// tickInterval moves ramps, estimates and ejections.
	tickInterval = 100 * time.Millisecond
	// LookupTTL is how long callers may keep a look-up answer.
	LookupTTL = 5 * time.Second
	// stopMargin is added to the TTL before a stopping daemon closes its listener:
	// other VMs name it until their next renewal, up to 1 s later and answered up
	// to 0.9 s after that, and a caller's request may be on its way for a second.
	stopMargin = 3 * time.Second
	// maxStartRenewals is after how many renewals a starting VM serves even if it
	// holds no slot.
	maxStartRenewals = 10
	// jobInterval is how often spare capacity is looked for to run deferred jobs.
	jobInterval = 250 * time.Millisecond
	// maxJobDelay bounds the growing pause after jobs that could not run and went
	// back to the queue. Each try costs two commits.
	maxJobDelay = 8 * time.Second
)
