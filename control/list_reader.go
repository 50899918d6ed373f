package control

import (
	"context"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

// readList is a list of upstreams with the time at which it was requested.
type readList struct {
	upstreams   []inventory.Upstream
	requestedAt clock.Instant
}

// listReader reads the list of upstreams from the platform. While no leader is known, as after a loss of
// all power, it keeps one list for the case that this daemon is elected: entry VMs serve nobody before they
// have a list, and reading all its pages takes several round trips.
type listReader struct {
	lister  inventory.Lister
	clock   clock.Clock
	log     logrus.FieldLogger
	failing bool
	early   *readList
	// earlyTried is set once readEarly was called, last at earlyTriedAt.
	earlyTried   bool
	earlyTriedAt clock.Instant
}

// read reads the list. It logs the first of several failures in a row.
func (r *listReader) read(ctx context.Context) (readList, bool) {
	requestedAt := r.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, upstreamListTimeout)
	defer cancel()
	list, err := r.lister.Upstreams(callCtx)
	if err != nil {
		if !r.failing && ctx.Err() == nil {
			r.log.WithError(err).Warn("failed to read the list of upstreams")
		}
		r.failing = true
		return readList{}, false
	}
	if r.failing {
		r.log.Info("reading the list of upstreams succeeds again")
	}
	r.failing = false
	return readList{upstreams: list, requestedAt: requestedAt}, true
}

// election is what a daemon that does not lead knows of the election.
type election int

const (
	// electionUnclear: no plan is in force, or this daemon won and may lead soon.
	electionUnclear election = iota
	// electionOpen: no leader is known.
	electionOpen
	// electionLost: another daemon leads.
	electionLost
)

// followElection reads a list while no leader is known, and drops it once another daemon leads, whose lists are newer.
func (r *listReader) followElection(ctx context.Context, e election) {
	switch {
	case e == electionLost:
		r.early, r.earlyTried = nil, false
	case e == electionOpen && r.earlyReadDue():
		r.readEarly(ctx)
	}
}

// readEarly reads a list before it is known who leads.
func (r *listReader) readEarly(ctx context.Context) {
	r.earlyTried, r.earlyTriedAt = true, r.clock.Now()
	if list, ok := r.read(ctx); ok {
		r.early = &list
	}
}

// hasEarly reports whether the list of readEarly is recent enough to be used.
func (r *listReader) hasEarly() bool {
	return r.early != nil && r.clock.Now().ElapsedSince(r.early.requestedAt) < maxEarlyListAge
}

// earlyReadDue reports whether readEarly may read the list again.
func (r *listReader) earlyReadDue() bool {
	return !r.earlyTried || r.clock.Now().ElapsedSince(r.earlyTriedAt) >= maxEarlyListAge
}
