package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/grant"
)

// holderCleanupInterval is how often the leader looks for processes that hold nothing
// any more. Each one costs a log entry.
const holderCleanupInterval = time.Second

// registerHolder makes durable that a process may hold grants, before it gets any, so
// that the next leader knows from whom to hear. It also removes those that have
// been silent for longer than any lease.
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
		return errors.Annotatef(err, "holder %s", vm.Name)
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

// removeAbsentHolders proposes the removal of holders that are not in the fleet list. The
// list is complete only when every VM has had the time to send a heartbeat.
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
				o.cfg.Log.WithError(err).WithField("vm", name).Info("holder not removed; the next leader waits for it")
			}
		}()
	}
}
