package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/grant"
)

// holderTidyInterval is how often the leader looks for processes that hold nothing
// any more. Each one costs a log entry.
const holderTidyInterval = time.Second

// admitHolder makes durable that a process may hold grants, before it gets any, so
// that the next leader knows from whom to hear. It also removes those that have
// been silent for longer than any lease.
func (o *ownership) admitHolder(ctx context.Context, engine *Engine, t *tenure, l *leadership, vm *apipb.Vm) error {
	t.tidyHolders(o, engine, l)
	t.holdersMu.Lock()
	admitted := l.holders[vm.Name] == vm.Incarnation && t.leaving[vm.Name] != vm.Incarnation
	t.holdersMu.Unlock()
	if admitted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := engine.setHolder(ctx, vm.Name, vm.Incarnation, true); err != nil {
		return errors.Annotatef(err, "holder %s", vm.Name)
	}
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	if t.leaving[vm.Name] == vm.Incarnation {
		delete(t.leaving, vm.Name)
	}
	return nil
}

func (e *Engine) setHolder(ctx context.Context, vm string, incarnation uint64, holds bool) error {
	_, err := e.Propose(ctx, &apipb.Command{Body: &apipb.Command_SetHolder{
		SetHolder: &apipb.SetHolder{Vm: vm, Incarnation: incarnation, Holds: holds},
	}})
	return errors.Trace(err)
}

// tidyHolders proposes the removal of holders that are not in the fleet list. The
// list is complete only when every VM has had the time to send a heartbeat.
func (t *tenure) tidyHolders(o *ownership, engine *Engine, l *leadership) {
	now := o.cfg.Clock.Now()
	t.holdersMu.Lock()
	defer t.holdersMu.Unlock()
	if now.ElapsedSince(t.tidied) < holderTidyInterval || now.ElapsedSince(t.began) < 2*grant.DefaultLease {
		return
	}
	t.tidied = now
	t.fleet.Expire()
	vms, _ := t.fleet.List()
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.Name] = true
	}
	for name, incarnation := range l.holders {
		if present[name] || t.leaving[name] == incarnation {
			continue
		}
		t.leaving[name] = incarnation
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			if err := engine.setHolder(ctx, name, incarnation, false); err != nil {
				o.cfg.Log.WithError(err).WithField("vm", name).Info("holder not removed; the next leader waits for it")
			}
		}()
	}
}
