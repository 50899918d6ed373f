package placement

import "time"

// ShiftState is the state of a shift limiter at one moment.
type ShiftState struct {
	// Reference are the shares of requests by region that the limiter allows, Counted those of the
	// requests of the last window.
	Reference, Counted map[string]float64
	// Suspended is set while the limiter allows everything, after an outage.
	Suspended bool
}

// State returns the state of the limiter.
func (l *ShiftLimiter) State(now time.Time) ShiftState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow(now)
	counted, n := l.sumWindow()
	state := ShiftState{Reference: map[string]float64{}, Counted: map[string]float64{}, Suspended: now.Before(l.suspendedUntil)}
	for region, share := range l.reference {
		state.Reference[region] = share
	}
	for region, count := range counted {
		state.Counted[region] = count / max(n, 1) // all may have been taken back
	}
	return state
}
