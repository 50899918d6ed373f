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
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
)

// renewer renews the grants of this daemon and receives the fleet list. Its renewals
// are also the heartbeats of the VM.
type renewer struct {
	controls *controls
	holder   *grant.Holder
	log      logrus.FieldLogger
	// knowledge is told of accepted renewals.
	knowledge *knowledge
	// onRevision is called with the revision in force at the leader and when the renewal was sent; nil to ignore it.
	onRevision func(revision uint64, sent clock.Instant)
	// vmStatus returns the entry of this VM for the fleet list.
	vmStatus func() *apipb.Vm
	// onFleet is called with each changed fleet list.
	onFleet func(version uint64, vms []*apipb.Vm)
	// upstreams receives the list of upstreams; nil if it is not wanted.
	upstreams *upstreamList
	demands   demandExchange
	notices   noticeExchange
	// onRenewed is called after each accepted renewal.
	onRenewed func()

	// renewing is a semaphore that admits one renewal at a time: a later one would
	// invalidate the reply to an earlier one.
	renewing       chan struct{}
	fleetVersion   uint64
	fleet          map[string]*apipb.Vm
	failing        bool
	failedRenewals atomic.Uint64
	// acceptedSince is when the unbroken series of accepted renewals began; nil while they fail.
	acceptedSince atomic.Pointer[time.Time]
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

// renewAndReport renews once, or twice if the first daemon names the leader, or leads and has forgotten this VM, as after
// a pause. After a start of all VMs, the leader grants nothing until each of them has renewed.
func (r *renewer) renewAndReport(ctx context.Context) {
	err := r.renew(ctx)
	if errors.Is(err, grant.ErrNotLeader) && r.controls.leaderKnown() || errors.Is(err, grant.ErrFullRequestNeeded) {
		err = r.renew(ctx)
	}
	if err != nil && !r.failing && ctx.Err() == nil {
		r.log.WithError(err).Warn("failed to renew grants")
	}
	if err == nil && r.failing {
		r.log.Info("grant renewals recovered")
	}
	r.failing = err != nil
}

// maxRenewAttempts bounds the attempts of a planned stop to reach the leader: one more
// than needed to learn of a new leader from a daemon that does not lead.
const maxRenewAttempts = 4

// renewWithRetry renews until it succeeds or the attempts are used up.
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

// renew sends one renewal to the leader. After an error the next renewal may go to
// another daemon.
func (r *renewer) renew(ctx context.Context) error {
	err := r.sendRenewal(ctx)
	if err != nil {
		r.failedRenewals.Add(1)
		r.acceptedSince.Store(nil)
	} else if r.acceptedSince.Load() == nil {
		now := time.Now()
		r.acceptedSince.Store(&now)
	}
	return err
}

// connectedFor returns how long the leader has accepted all renewals, 0 while they fail.
func (r *renewer) connectedFor() time.Duration {
	if since := r.acceptedSince.Load(); since != nil {
		return time.Since(*since)
	}
	return 0
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
	sent := r.knowledge.clock.Now()
	request := r.holder.BuildRequest()
	request.Vm = r.vmStatus()
	request.HaveFleetVersion = r.fleetVersion
	if r.upstreams != nil {
		request.WantsList, request.HaveListVersion, request.AcceptsCompactList = true, r.upstreams.version, true
	}
	r.demands.addTo(request, time.Now())
	r.notices.addTo(request, time.Now())
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
	r.demands.applyReply(reply)
	r.notices.applyReply(reply, time.Now())
	if reply.FleetVersion != r.fleetVersion {
		r.applyFleet(reply)
	}
	r.knowledge.recordRenewal(sent)
	if r.onRevision != nil {
		r.onRevision(reply.RevisionInForce, sent)
	}
	return nil
}

// updateLeader records the leader named by a reply. It drops a daemon that knows no
// leader or that leads an earlier term.
func (r *renewer) updateLeader(address string, reply *apipb.RenewReply, err error) {
	switch {
	case errors.Is(err, grant.ErrLowerTerm), reply.NotLeader && reply.LeaderAddress == "":
		r.controls.dropLeader(address)
	case reply.NotLeader:
		r.controls.setLeader(reply.LeaderAddress)
	}
}

// applyFleet applies the changes of a reply to the fleet list, or replaces the list.
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
