package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// LookupTTL is how long callers may use a lookup response. A leaving VM accepts
// requests for that long, because callers with an older response still send them.
const LookupTTL = 5 * time.Second

type trigger string

const (
	triggerServe trigger = "serve"
	triggerLeave trigger = "leave"
	triggerStop  trigger = "stop"
)

// Lifecycle is the state machine of this process: starting, serving, leaving,
// stopped. It is safe for concurrent use; State and Accepts take no lock.
type Lifecycle struct {
	clock clock.Clock
	state atomic.Int32
	// acceptUntil is when a leaving process stops accepting requests, nil before it leaves.
	acceptUntil atomic.Pointer[clock.Instant]

	mu      sync.Mutex
	machine *stateless.StateMachine
}

// NewLifecycle returns a Lifecycle in state starting.
func NewLifecycle(c clock.Clock) *Lifecycle {
	l := &Lifecycle{clock: c}
	l.state.Store(int32(apipb.VmState_VM_STATE_STARTING))
	l.machine = stateless.NewStateMachineWithExternalStorage(l.load, l.store, stateless.FiringImmediate)
	l.machine.Configure(apipb.VmState_VM_STATE_STARTING).
		Permit(triggerServe, apipb.VmState_VM_STATE_SERVING).
		Permit(triggerLeave, apipb.VmState_VM_STATE_LEAVING).
		Permit(triggerStop, apipb.VmState_VM_STATE_STOPPED)
	l.machine.Configure(apipb.VmState_VM_STATE_SERVING).
		Permit(triggerLeave, apipb.VmState_VM_STATE_LEAVING)
	l.machine.Configure(apipb.VmState_VM_STATE_LEAVING).
		OnEntry(l.enterLeaving).
		Ignore(triggerLeave).
		Permit(triggerStop, apipb.VmState_VM_STATE_STOPPED)
	l.machine.Configure(apipb.VmState_VM_STATE_STOPPED).
		Ignore(triggerLeave).
		Ignore(triggerStop)
	return l
}

func (l *Lifecycle) load(context.Context) (stateless.State, error) {
	return l.State(), nil
}

func (l *Lifecycle) store(_ context.Context, s stateless.State) error {
	l.state.Store(int32(s.(apipb.VmState)))
	return nil
}

func (l *Lifecycle) enterLeaving(context.Context, ...any) error {
	until := l.clock.Now().Add(LookupTTL)
	l.acceptUntil.Store(&until)
	return nil
}

// State returns the current state.
func (l *Lifecycle) State() apipb.VmState { return apipb.VmState(l.state.Load()) }

// Serve changes the state from starting to serving.
func (l *Lifecycle) Serve() error { return l.fire(triggerServe) }

// Leave begins a planned stop. It has no effect if one has already begun.
func (l *Lifecycle) Leave() error { return l.fire(triggerLeave) }

// Stop completes a planned stop. A serving process must call Leave first.
func (l *Lifecycle) Stop() error { return l.fire(triggerStop) }

func (l *Lifecycle) fire(t trigger) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(t); err != nil {
		return errors.Annotatef(ErrTransition, "%s in state %v", t, l.State())
	}
	return nil
}

// Accepts reports whether new requests are accepted: while serving, and while
// leaving until every lookup response that lists this VM has expired.
func (l *Lifecycle) Accepts() bool {
	switch l.State() {
	case apipb.VmState_VM_STATE_SERVING:
		return true
	case apipb.VmState_VM_STATE_LEAVING:
		return !l.stoppedAccepting()
	default:
		return false
	}
}

func (l *Lifecycle) stoppedAccepting() bool {
	until := l.acceptUntil.Load()
	return until != nil && !l.clock.Now().Before(*until)
}

// Drained reports whether a leaving process may return its grants and stop:
// it no longer accepts requests and inFlight is zero.
func (l *Lifecycle) Drained(inFlight int) bool {
	return l.State() == apipb.VmState_VM_STATE_LEAVING && l.stoppedAccepting() && inFlight == 0
}
