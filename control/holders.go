package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/grant"
)

// holderCleanupInterval is how often the leader looks for holders that no longer hold
// grants. Each removal costs a log entry.
const holderCleanupInterval = time.Second

// registerHolder records durably that a process may hold grants before it gets any,
// so that the next leader knows which holders to wait for. It also removes holders
// that have been silent for longer than any lease.
func (o *ownership) registerHolder(ctx context.Context, engine *Engine, t *termState, l *leadership, vm *apipb.Vm) error {
	t.removeAbsentHolders(o, engine, l)
	t.holdersMu.Lock()
	registered := l.holders[vm.Name] == vm.Incarnation && t.removalProposed[vm.Name] != vm.Incarnation
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
func (t *termState) removeAbsentHolders(o *ownership, engine *Engine, l *leadership) {
	now := o.cfg.Clock.Now()
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	if now.ElapsedSince(t.lastCleanup) < holderCleanupInterval || now.ElapsedSince(t.startedAt) < 2*grant.DefaultLease {
		return
	}
	t.lastCleanup = now
	t.fleet.Expire()
	vms, _ := t.fleet.List()
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.Name] = true
	}
	for name, incarnation := range l.holders {
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
}
