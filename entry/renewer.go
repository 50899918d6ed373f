package entry

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/grant"
)

// renewer keeps the grants of this daemon renewed and takes in the fleet list.
// Its renewals are also the heartbeats of the VM.
type renewer struct {
	controls *controls
	holder   *grant.Holder
	log      logrus.FieldLogger
	// vmStatus returns the VM as the fleet shall see it.
	vmStatus func() *apipb.Vm
	// onFleet is called with each changed fleet list.
	onFleet func(version uint64, vms []*apipb.Vm)
	// upstreams takes in the upstreams of upstreams; nil if it is not wanted.
	upstreams *upstreamList
	// onRenewed is called after each accepted renewal.
	onRenewed func()

	// renewing is held by one renewal at a time: a later one makes the reply to an
	// earlier one void.
	renewing       chan struct{}
	fleetVersion   uint64
	fleet          map[string]*apipb.Vm
	failing        bool
	failedRenewals atomic.Uint64 // renewals
}

// run renews until the context ends.
func (r *renewer) run(ctx context.Context) {
	ticker := time.NewTicker(renewCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.holder.NeedsRenewal() {
			r.renewAndReport(ctx)
		}
	}
}

func (r *renewer) renewAndReport(ctx context.Context) {
	err := r.renew(ctx)
	if err != nil && !r.failing && ctx.Err() == nil {
		r.log.WithError(err).Warn("grants not renewed")
	}
	if err == nil && r.failing {
		r.log.Info("grants renewed again")
	}
	r.failing = err != nil
}

// maxRenewAttempts is how often a planned stop tries to reach the leader: once more
// than it takes to learn of a new one from a daemon that is none.
const maxRenewAttempts = 4

// renewWithRetry renews until it succeeds or the tries are used up.
func (r *renewer) renewWithRetry(ctx context.Context) error {
	var err error
	for range maxRenewAttempts {
		if err = r.renew(ctx); err == nil {
			return nil
		}
		pause(ctx, retryDelay)
	}
	return errors.Trace(err)
}

// renew asks the leader once. An error makes the next renewal ask another.
func (r *renewer) renew(ctx context.Context) error {
	err := r.sendRenewal(ctx)
	if err != nil {
		r.failedRenewals.Add(1)
	}
	return err
}

func (r *renewer) sendRenewal(ctx context.Context) error {
	r.renewing <- struct{}{}
	defer func() { <-r.renewing }()
	client, address, err := r.controls.leaderClient()
	if err != nil {
		r.controls.dropLeader(address)
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := r.holder.BuildRequest()
	request.Vm = r.vmStatus()
	request.HaveFleetVersion = r.fleetVersion
	if r.upstreams != nil {
		request.WantsList, request.HaveListVersion = true, r.upstreams.version
	}
	reply, err := client.Renew(ctx, request)
	if err != nil {
		r.controls.dropLeader(address)
		return errors.Trace(err)
	}
	err = r.holder.Accept(reply)
	r.updateLeader(address, reply, err)
	if err != nil {
		return errors.Trace(err)
	}
	r.onRenewed()
	if r.upstreams != nil && reply.ListVersion != 0 {
		r.upstreams.applyReply(reply)
	}
	if reply.FleetVersion != r.fleetVersion {
		r.applyFleet(reply)
	}
	return nil
}

// updateLeader turns to the leader that a reply names. A daemon that knows none, or
// that leads an earlier term, is left for another.
func (r *renewer) updateLeader(address string, reply *apipb.RenewReply, err error) {
	switch {
	case errors.Is(err, grant.ErrLowerTerm), reply.NotLeader && reply.LeaderAddress == "":
		r.controls.dropLeader(address)
	case reply.NotLeader:
		r.controls.setLeader(reply.LeaderAddress)
	}
}

// applyFleet applies the changes of a reply to the fleet list, or replaces it.
func (r *renewer) applyFleet(reply *apipb.RenewReply) {
	if r.fleet == nil || !reply.FleetChanges {
		r.fleet = make(map[string]*apipb.Vm, len(reply.Fleet))
	}
	for _, vm := range reply.Fleet {
		r.fleet[vm.Name] = vm
		if vm.State == apipb.VmState_VM_STATE_STOPPED {
			delete(r.fleet, vm.Name)
		}
	}
	r.fleetVersion = reply.FleetVersion
	list := make([]*apipb.Vm, 0, len(r.fleet))
	for _, name := range slices.Sorted(maps.Keys(r.fleet)) {
		list = append(list, r.fleet[name])
	}
	r.onFleet(reply.FleetVersion, list)
}
