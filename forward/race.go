package forward

import (
	"slices"
	"time"

	"pistachiomount.example/pistachiomount/forward/pool"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// race runs the attempts of a request on an idempotent route: retries after failures, and
// one hedge if the first attempt takes long.
type race struct {
	x        *exchange
	results  chan *attempt
	running  []*attempt
	pending  int
	excluded []string
	lastErr  error // of the attempt that failed last
	// withheld is set if that attempt was withheld, so that it counts for nothing.
	withheld bool
}

func newRace(x *exchange) *race {
	return &race{x: x, results: make(chan *attempt, x.h.cfg.Limits.MaxAttempts)}
}

// run returns the first attempt with a usable response.
func (rc *race) run() (*attempt, *reject.Rejection) {
	for {
		if rejection := rc.launch(false); rejection != nil {
			return nil, rejection
		}
		if a := rc.wait(); a != nil {
			rc.cancelLosers(a)
			return a, nil
		}
		if rejection := rc.checkRetry(); rejection != nil {
			return nil, rejection
		}
	}
}

// launch starts an attempt on its own goroutine, which sends it to results when it ends.
// The channel has capacity for every attempt.
func (rc *race) launch(hedge bool) *reject.Rejection {
	a, rejection := rc.pick()
	if rejection != nil {
		if rc.lastErr != nil {
			return rc.x.attemptRejection(rc.lastErr)
		}
		return rejection
	}
	a.hedge = hedge
	rc.excluded = append(rc.excluded, a.upstream.Name)
	rc.running = append(rc.running, a)
	rc.pending++
	timeout := rc.attemptTimeout()
	go func() {
		a.run(pool.ReuseConn, timeout)
		rc.results <- a
	}()
	return nil
}

func (rc *race) pick() (*attempt, *reject.Rejection) {
	if len(rc.running) == 0 {
		return rc.x.pickWithWait()
	}
	return rc.x.pick(rc.excluded)
}

// attemptTimeout leaves half of the remaining time for further attempts.
func (rc *race) attemptTimeout() time.Duration {
	if !rc.attemptsLeft() {
		return 0
	}
	return max(time.Until(rc.x.deadline)/2, time.Millisecond)
}

func (rc *race) attemptsLeft() bool { return len(rc.running) < rc.x.h.cfg.Limits.MaxAttempts }

// wait returns an attempt with a usable response, or nil once all of them failed or the
// request ended. No attempt is pending when it returns nil.
func (rc *race) wait() *attempt {
	var hedge <-chan time.Time
	if delay := rc.x.h.cfg.Chooser.HedgeDelay(rc.x.query); delay > 0 && len(rc.running) == 1 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for rc.pending > 0 {
		select {
		case a := <-rc.results:
			if rc.acceptResult(a) {
				return a
			}
		case <-hedge:
			rc.hedge()
		}
	}
	return nil
}

// acceptResult takes over a finished attempt and closes it if it failed. Attempts end with
// the request, so waiting for them takes no longer than the request.
func (rc *race) acceptResult(a *attempt) bool {
	rc.pending--
	if a.err == nil && a.rejectedByUpstream() {
		a.err = errUpstreamRejected
	}
	rc.x.sent = rc.x.sent || a.sent
	if a.err != nil {
		rc.lastErr, rc.withheld = a.err, a.withheld()
		if rc.withheld {
			rc.forget(a)
		}
		a.close()
		return false
	}
	return true
}

// forget removes an attempt that was withheld: its upstream may be tried.
func (rc *race) forget(a *attempt) {
	rc.running = slices.DeleteFunc(rc.running, func(other *attempt) bool { return other == a })
	rc.excluded = slices.DeleteFunc(rc.excluded, func(name string) bool { return name == a.upstream.Name })
}

func (rc *race) hedge() {
	if rc.attemptsLeft() && !rc.x.h.cfg.Views.View().Outdated && rc.x.checkStillAllowed() == nil && rc.x.mayBeRepeated() && rc.x.h.cfg.Chooser.TryRetry(rc.x.query.Service) {
		_ = rc.launch(true) // without a grant the first attempt continues alone
	}
}

func (rc *race) checkRetry() *reject.Rejection {
	if rejection := rc.x.checkStillAllowed(); rejection != nil {
		return rejection
	}
	if rc.withheld {
		rc.withheld = false
		return nil
	}
	if !rc.attemptsLeft() || rc.x.sent && !rc.x.mayBeRepeated() || !rc.x.h.cfg.Chooser.TryRetry(rc.x.query.Service) {
		return rc.x.attemptRejection(rc.lastErr)
	}
	return nil
}

// cancelLosers cancels the other attempts. Each is closed, and its buffer reused, only
// after its goroutine has finished.
func (rc *race) cancelLosers(winner *attempt) {
	for _, a := range rc.running {
		if a != winner {
			a.cancel(errAttemptCancelled)
		}
	}
	if rc.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			(<-rc.results).close()
		}
	}(rc.pending)
}
