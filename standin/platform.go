package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
)

// maxPending bounds the changes that wait for the lag to pass.
const maxPending = 10_000

// PlatformOptions are the ways in which the platform stand-in misbehaves.
type PlatformOptions struct {
	// LagMS delays each later change by this many milliseconds.
	LagMS int64 `json:"lag_ms"`
	// Failing makes GET requests for lists fail with 500.
	Failing bool `json:"failing"`
}

// Platform is the stand-in of the platform. It serves the lists and lets
// tests change them. It is safe for concurrent use.
type Platform struct {
	clock   clock.Clock
	handler http.Handler

	mu      sync.Mutex
	options PlatformOptions
	visible Lists
	pending []pendingLists
}

// pendingLists replace the visible lists at an instant.
type pendingLists struct {
	lists     Lists
	visibleAt clock.Instant
}

// NewPlatform returns a platform that publishes the lists at once.
func NewPlatform(c clock.Clock, lists Lists, options PlatformOptions) (*Platform, error) {
	if err := lists.check(); err != nil {
		return nil, errors.Trace(err)
	}
	p := &Platform{clock: c, options: options, visible: lists}
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
	p.publish()
	return p.visible
}

// Update applies change to a copy of the newest lists, pending ones included.
// The result becomes visible after the lag.
func (p *Platform) Update(change func(*Lists) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish()
	if len(p.pending) >= maxPending {
		return errors.WithType(errors.Errorf("%d changes are pending", len(p.pending)), ErrTooManyEntries)
	}
	lists := p.newest()
	if err := change(&lists); err != nil {
		return errors.Trace(err)
	}
	if err := lists.check(); err != nil {
		return errors.Trace(err)
	}
	lag := time.Duration(p.options.LagMS) * time.Millisecond
	p.pending = append(p.pending, pendingLists{lists, p.clock.Now().Add(lag)})
	return nil
}

func (p *Platform) newest() Lists {
	if len(p.pending) > 0 {
		return p.pending[len(p.pending)-1].lists
	}
	return p.visible
}

// publish makes the newest pending lists visible whose instant has come.
func (p *Platform) publish() {
	now := p.clock.Now()
	for i := len(p.pending) - 1; i >= 0; i-- {
		if !now.Before(p.pending[i].visibleAt) {
			p.visible = p.pending[i].lists
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
