package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
)

// holderCleanupInterval is how often the leader looks for holders that no longer hold
// grants. Each removal costs a log entry.
const holderCleanupInterval = time.Second

// registerHolder records durably that a process may hold grants before it gets any,
// so that the next leader knows which holders to wait for. It also removes holders
// that have been silent for longer than any lease.
func (o *ownership) registerHolder(ctx context.Context, engine *Engine, t *termState, l *leadership, vm *apipb.Vm) error {
	if err := t.removeAbsentHolders(ctx, o, engine); err != nil {
		return errors.Trace(err)
	}
	t.holdersMu.Lock()
	registered := l.holder == vm.Incarnation && t.removalProposed[vm.Name] != vm.Incarnation
	t.holdersMu.Unlock()
	if registered {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := engine.setHolder(ctx, vm.Name, vm.Incarnation, true); err != nil {
		return errors.Annotatef(err, "register holder %s", vm.Name)
	}
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	if t.removalProposed[vm.Name] == vm.Incarnation {
		delete(t.removalProposed, vm.Name)
	}
	return nil
}

func (e *Engine) setHolder(ctx context.Context, vm string, incarnation uint64, holds bool) error {
	_, err := e.Propose(ctx, &apipb.Command{Body: &apipb.Command_SetHolder{
		SetHolder: &apipb.SetHolder{Vm: vm, Incarnation: incarnation, Holds: holds},
	}})
	return errors.Trace(err)
}

// removeAbsentHolders proposes the removal of holders that are not in the fleet list.
// It waits for two lease times after the start of the term, since the list is complete
// only after every VM has had time to send a heartbeat.
func (t *termState) removeAbsentHolders(ctx context.Context, o *ownership, engine *Engine) error {
	if !t.cleanupDue(o.cfg.Clock.Now()) {
		return nil
	}
	holders, err := engine.holders(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	t.fleet.Expire()
	vms, _ := t.fleet.List()
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.Name] = true
	}
	for name, incarnation := range holders {
		if present[name] || t.removalProposed[name] == incarnation {
			continue
		}
		t.removalProposed[name] = incarnation
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			if err := engine.setHolder(ctx, name, incarnation, false); err != nil {
				o.cfg.Log.WithError(err).WithField("vm", name).Info("cannot remove holder; the next leader will wait for it")
			}
		}()
	}
	return nil
}

// cleanupDue reports whether it is time to look for absent holders, and notes that it is done.
func (t *termState) cleanupDue(now clock.Instant) bool {
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	if now.ElapsedSince(t.lastCleanup) < holderCleanupInterval || now.ElapsedSince(t.startedAt) < 2*grant.DefaultLease {
		return false
	}
	t.lastCleanup = now
	return true
}
