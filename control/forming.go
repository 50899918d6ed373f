package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// initialise forms a new cluster with this daemon as its only voter. Others join
// it by themselves.
func (d *Daemon) initialise(ctx context.Context) (uint64, error) {
	id := rand.Uint64() | 1
	if err := d.beginForming(id); err != nil {
		return 0, errors.Trace(err)
	}
	checkErr := d.newJoiner().checkUninitialised(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forming = 0
	if checkErr != nil {
		return 0, errors.Trace(checkErr)
	}
	if d.log.Identity().ClusterID != 0 { // taken in by another cluster meanwhile
		return 0, errors.Trace(ErrAlreadyInitialised)
	}
	return id, errors.Trace(d.form(id))
}

// formByItself forms the cluster unless a peer that answers belongs to one. A
// peer that does not answer is no obstacle, because Config.Form is set only at
// the very first start and on one daemon.
func (d *Daemon) formByItself(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.formUnlessFound(ctx)
		if err == nil {
			return
		}
		d.cfg.Log.WithError(err).Warn("cluster not formed")
		if errors.Is(err, ErrAlreadyInitialised) {
			return
		}
		wait(ctx, joinInterval)
	}
}

func (d *Daemon) formUnlessFound(ctx context.Context) error {
	id := rand.Uint64() | 1
	if err := d.beginForming(id); err != nil {
		return errors.Trace(err)
	}
	checkErr := d.newJoiner().checkUninitialised(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forming = 0
	if checkErr != nil && !errors.Is(checkErr, ErrPeerUnreachable) {
		return errors.Trace(checkErr)
	}
	if d.log.Identity().ClusterID != 0 {
		return errors.Trace(ErrAlreadyInitialised)
	}
	return errors.Trace(d.form(id))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (d *Daemon) beginForming(id uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine != nil || d.initing || d.forming != 0 || d.log.Identity().ClusterID != 0 {
		return errors.Trace(ErrAlreadyInitialised)
	}
	d.forming = id
	return nil
}

// form makes the state of a new cluster durable. mu is held.
func (d *Daemon) form(id uint64) error {
	persisted, err := consensus.Bootstrap([]*apipb.Member{d.self})
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.log.SaveSnapshot(persisted.Snapshot); err != nil {
		return errors.Trace(err)
	}
	if err := d.log.Save(persisted.HardState, nil); err != nil {
		return errors.Trace(err)
	}
	if err := d.log.SetClusterID(id); err != nil {
		return errors.Trace(err)
	}
	d.initing = true
	d.bootstrap = &persisted
	d.ownership.setFirstTerm(persisted.HardState.Term + 1)
	d.joined <- id
	return nil
}

// clusterID returns the cluster that this daemon belongs to or is forming, or 0.
func (d *Daemon) clusterID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forming != 0 {
		return d.forming
	}
	return d.log.Identity().ClusterID
}

// belongTo makes the cluster that took this daemon in durable. The rest of an
// init that did not finish would make it a voter of its own in that cluster.
func (d *Daemon) belongTo(id uint64) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.initing {
		return <-d.joined, nil
	}
	if d.loaded.Snapshot != nil || d.loaded.HardState != nil || len(d.loaded.Entries) > 0 {
		return 0, errors.Annotatef(ErrUnfinishedInit, "data folder %s", d.cfg.DataDir)
	}
	return id, errors.Trace(d.log.SetClusterID(id))
}

// persisted returns the state that the engine continues from: that of a cluster
// formed by this process, or what the log held. The engine keeps it from then on.
func (d *Daemon) persisted() consensus.PersistentState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.loaded
	if d.bootstrap != nil {
		state = *d.bootstrap
	}
	d.loaded, d.bootstrap = consensus.PersistentState{}, nil
	return state
}
