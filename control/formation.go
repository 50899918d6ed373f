package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// initialise forms a new cluster with this daemon as its only voter. Other daemons
// join it through their peers.
func (d *Daemon) initialise(ctx context.Context) (uint64, error) {
	id := rand.Uint64() | 1
	if err := d.beginForming(id); err != nil {
		return 0, errors.Trace(err)
	}
	checkErr := d.newJoiner().checkUninitialised(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.formingID = 0
	if checkErr != nil {
		return 0, errors.Trace(checkErr)
	}
	if d.log.Identity().ClusterID != 0 { // joined another cluster in the meantime
		return 0, errors.Trace(ErrAlreadyInitialised)
	}
	return id, errors.Trace(d.formCluster(id))
}

// formAutomatically forms the cluster unless a reachable peer belongs to one. An
// unreachable peer does not prevent it, because Config.FormCluster is set only at
// the very first start and on one daemon. It ends if the log cannot be written.
func (d *Daemon) formAutomatically(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.tryForming(ctx)
		if err == nil {
			return
		}
		d.cfg.Log.WithError(err).Warn("cluster not formed")
		if errors.Is(err, ErrAlreadyInitialised) || errors.Is(err, ErrStorage) {
			return
		}
		sleep(ctx, joinInterval)
	}
}

func (d *Daemon) tryForming(ctx context.Context) error {
	id := rand.Uint64() | 1
	if err := d.beginForming(id); err != nil {
		return errors.Trace(err)
	}
	checkErr := d.newJoiner().checkUninitialised(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.formingID = 0
	if checkErr != nil && !errors.Is(checkErr, ErrPeerUnreachable) {
		return errors.Trace(checkErr)
	}
	if d.log.Identity().ClusterID != 0 {
		return errors.Trace(ErrAlreadyInitialised)
	}
	return errors.Trace(d.formCluster(id))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (d *Daemon) beginForming(id uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine != nil || d.formed || d.formingID != 0 || d.log.Identity().ClusterID != 0 {
		return errors.Trace(ErrAlreadyInitialised)
	}
	d.formingID = id
	return nil
}

// formCluster makes the state of a new cluster durable. The caller holds d.mu. If the log cannot be written,
// the daemon ends, since no later write to it would succeed.
func (d *Daemon) formCluster(id uint64) error {
	persisted, err := consensus.Bootstrap([]*apipb.Member{d.self})
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.saveNewCluster(id, &persisted); err != nil {
		select {
		case d.storageFailed <- err:
		default: // reported already
		}
		return errors.Trace(err)
	}
	d.formed = true
	d.bootstrap = &persisted
	d.ownership.setFirstTerm(persisted.HardState.Term + 1)
	d.formedID <- id
	return nil
}

func (d *Daemon) saveNewCluster(id uint64, state *consensus.PersistentState) error {
	if err := d.log.SaveSnapshot(state.Snapshot); err != nil {
		return errors.Annotate(ErrStorage, err.Error())
	}
	if err := d.log.Save(state.HardState, nil); err != nil {
		return errors.Annotate(ErrStorage, err.Error())
	}
	if err := d.log.SetClusterID(id); err != nil {
		return errors.Annotate(ErrStorage, err.Error())
	}
	return nil
}

// BelongsToCluster reports whether this daemon has formed or joined a cluster.
func (d *Daemon) BelongsToCluster() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.formed || d.engine != nil || d.log.Identity().ClusterID != 0
}

// clusterID returns the id of the cluster that this daemon belongs to or is forming,
// or 0.
func (d *Daemon) clusterID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.formingID != 0 {
		return d.formingID
	}
	return d.log.Identity().ClusterID
}

// adoptCluster makes the id of the cluster that accepted this daemon durable. It fails
// if the log holds the state of an unfinished init, with which the daemon would start
// as the only voter of that cluster.
func (d *Daemon) adoptCluster(id uint64) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.formed {
		return <-d.formedID, nil
	}
	if d.loadedState.Snapshot != nil || d.loadedState.HardState != nil || len(d.loadedState.Entries) > 0 {
		return 0, errors.Annotatef(ErrUnfinishedInit, "data folder %s", d.cfg.DataDir)
	}
	if err := d.log.SetClusterID(id); err != nil {
		return 0, errors.Annotate(ErrStorage, err.Error())
	}
	return id, nil
}

// persisted returns the state from which the engine continues: that of a cluster
// formed by this process, or what the log held. It drops its own reference, since
// the engine keeps the state from then on.
func (d *Daemon) persisted() consensus.PersistentState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.loadedState
	if d.bootstrap != nil {
		state = *d.bootstrap
	}
	d.loadedState, d.bootstrap = consensus.PersistentState{}, nil
	return state
}
