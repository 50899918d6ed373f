package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
)

// maxPendingChanges is the largest number of changes that are not yet published.
const maxPendingChanges = 10_000

// PlatformOptions configure the faults of the platform stand-in.
type PlatformOptions struct {
	// LagMS delays the publication of each later change, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// Failing makes GET requests for lists fail with 500.
	Failing bool `json:"failing"`
}

// Platform is the stand-in for the platform. It serves the lists and accepts
// changes to them. It is safe for concurrent use.
type Platform struct {
	clock   clock.Clock
	handler http.Handler

	mu        sync.Mutex
	options   PlatformOptions
	published Lists
	pending   []pendingLists
}

// pendingLists replace the published lists at an instant.
type pendingLists struct {
	lists     Lists
	publishAt clock.Instant
}

// NewPlatform returns a platform that publishes the lists immediately.
func NewPlatform(c clock.Clock, lists Lists, options PlatformOptions) (*Platform, error) {
	if err := lists.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	p := &Platform{clock: c, options: options, published: lists}
	p.handler = p.routes()
	return p, nil
}

// ServeHTTP serves the lists and the requests that change them.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// SetOptions changes the behaviour; changes already pending keep their lag.
func (p *Platform) SetOptions(options PlatformOptions) error {
	if options.LagMS < 0 {
		return errors.WithType(errors.New("lag_ms is negative"), ErrInvalidConfig)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options = options
	return nil
}

// Lists returns the published lists, which callers must not change.
func (p *Platform) Lists() Lists {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishDue()
	return p.published
}

// Update applies change to a copy of the latest lists, including pending
// changes. The result is published after the lag.
func (p *Platform) Update(change func(*Lists) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishDue()
	if len(p.pending) >= maxPendingChanges {
		return errors.WithType(errors.Errorf("%d changes are pending", len(p.pending)), ErrTooManyEntries)
	}
	lists := p.latest()
	if err := change(&lists); err != nil {
		return errors.Trace(err)
	}
	if err := lists.validate(); err != nil {
		return errors.Trace(err)
	}
	lag := time.Duration(p.options.LagMS) * time.Millisecond
	p.pending = append(p.pending, pendingLists{lists, p.clock.Now().Add(lag)})
	return nil
}

func (p *Platform) latest() Lists {
	if len(p.pending) > 0 {
		return p.pending[len(p.pending)-1].lists
	}
	return p.published
}

// publishDue publishes the newest pending lists whose publication time has passed.
func (p *Platform) publishDue() {
	now := p.clock.Now()
	for i := len(p.pending) - 1; i >= 0; i-- {
		if !now.Before(p.pending[i].publishAt) {
			p.published = p.pending[i].lists
			p.pending = p.pending[i+1:]
			return
		}
	}
}

func (p *Platform) failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options.Failing
}
