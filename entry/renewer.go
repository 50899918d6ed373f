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
	// describe returns the VM as the fleet shall see it.
	describe func() *apipb.Vm
	// onFleet is called with each changed fleet list.
	onFleet func(version uint64, vms []*apipb.Vm)
	// list takes in the list of upstreams; nil if it is not wanted.
	list *upstreamList
	// onRenewed is called after each accepted renewal.
	onRenewed func()

	// turn is held by one renewal at a time: a later one makes the reply to an
	// earlier one void.
	turn         chan struct{}
	fleetVersion uint64
	fleet        map[string]*apipb.Vm
	failing      bool
	failed       atomic.Uint64 // renewals
}

// run renews until the context ends.
func (r *renewer) run(ctx context.Context) {
	ticker := time.NewTicker(renewCheck)
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

// insistTries is how often a planned stop tries to reach the leader: once more
// than it takes to learn of a new one from a daemon that is none.
const insistTries = 4

// insist renews until it succeeds or the tries are used up.
func (r *renewer) insist(ctx context.Context) error {
	var err error
	for range insistTries {
		if err = r.renew(ctx); err == nil {
			return nil
		}
		pause(ctx, retryPause)
	}
	return errors.Trace(err)
}

// renew asks the leader once. An error makes the next renewal ask another.
func (r *renewer) renew(ctx context.Context) error {
	err := r.ask(ctx)
	if err != nil {
		r.failed.Add(1)
	}
	return err
}

func (r *renewer) ask(ctx context.Context) error {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	client, address, err := r.controls.leaderClient()
	if err != nil {
		r.controls.leaveLeader(address)
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := r.holder.BuildRequest()
	request.Vm = r.describe()
	request.HaveFleetVersion = r.fleetVersion
	if r.list != nil {
		request.WantsList, request.HaveListVersion = true, r.list.version
	}
	reply, err := client.Renew(ctx, request)
	if err != nil {
		r.controls.leaveLeader(address)
		return errors.Trace(err)
	}
	err = r.holder.Accept(reply)
	r.follow(address, reply, err)
	if err != nil {
		return errors.Trace(err)
	}
	r.onRenewed()
	if r.list != nil && reply.ListVersion != 0 {
		r.list.take(reply)
	}
	if reply.FleetVersion != r.fleetVersion {
		r.takeFleet(reply)
	}
	return nil
}

// follow turns to the leader that a reply names. A daemon that knows none, or
// that leads an earlier term, is left for another.
func (r *renewer) follow(address string, reply *apipb.RenewReply, err error) {
	switch {
	case errors.Is(err, grant.ErrLowerTerm), reply.NotLeader && reply.LeaderAddress == "":
		r.controls.leaveLeader(address)
	case reply.NotLeader:
		r.controls.setLeader(reply.LeaderAddress)
	}
}

// takeFleet applies the changes of a reply to the fleet list, or replaces it.
func (r *renewer) takeFleet(reply *apipb.RenewReply) {
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
