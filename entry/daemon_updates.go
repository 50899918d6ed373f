package entry

import (
	"context"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/steering"
)

// View returns the view by which a request is decided. It is fresh if it was
// confirmed at most MaxViewAge ago.
func (d *Daemon) View() forward.View {
	state := d.knowledge.state() // before the view is read, which may then be newer but not older
	v := d.syncer.load()
	age, confirmed := v.age(d.cfg.Clock.Now())
	out := forward.View{Index: v.index, Revision: v.revision, Region: d.cfg.Region, Outdated: !state.view, Run: state.run}
	switch {
	case !confirmed:
		out.StaleFor = MaxViewAge
	case age <= MaxViewAge:
		out.Fresh = true
	default:
		out.StaleFor = age - MaxViewAge
	}
	return out
}

// Await returns the current view. After a pause it waits for the view to be confirmed, at most until the given time.
func (d *Daemon) Await(ctx context.Context, until time.Time) forward.View {
	if v := d.View(); !v.Outdated {
		return v
	}
	d.knowledge.awaitView(ctx, until)
	return d.View()
}

// applyView passes a new document to everything that depends on it.
func (d *Daemon) applyView(v *view) {
	doc := v.index.Document()
	d.mu.Lock()
	if err := d.steerer.SetConfig(steeringConfig(doc)); err != nil {
		d.cfg.Log.WithError(err).Error("steering rejected the new rules and keeps the previous ones")
	}
	d.applyUpstreams(v)
	d.mu.Unlock()
	d.releaseRemoved()
	d.prepareGrants(doc)
	d.lookups.setRegions(doc, d.cfg.Region)
	d.forwarder.Revalidate(d.View())
}

// prepareGrants registers every rate that a request may need, so that the next
// renewal asks for it. A rate registered by its first request has no grant yet, and
// that request would be rejected.
func (d *Daemon) prepareGrants(doc *document.Document) {
	for i := range doc.Customers {
		d.grants.customer(doc.Customers[i].Name)
	}
	for i := range doc.Services {
		for region := range doc.Services[i].RegionCapacity {
			d.grants.region(region, doc.Services[i].Name)
		}
	}
	for _, l := range doc.Links {
		if l.From == d.cfg.Region || l.To == d.cfg.Region {
			d.grants.link(l.From, l.To)
		}
	}
}

// serveWhenReady changes the state from starting to serving once there is a
// confirmed view and a renewal that could ask for the grants of its document. Before
// that, lookups must not name this VM: it would reject requests for lack of grants.
func (d *Daemon) serveWhenReady() {
	d.queue.refresh()
	d.releaseRemoved()
	if d.lifecycle.State() != apipb.VmState_VM_STATE_STARTING || !d.View().Fresh {
		return
	}
	// Stay in starting until slots are granted, but not forever: without upstreams there
	// are none.
	if d.startRenewals++; d.queue.empty() && d.startRenewals < maxStartRenewals {
		return
	}
	if d.lifecycle.Serve() == nil {
		d.cfg.Ready.SetState("serving", true)
		d.cfg.Log.Info("serving")
	}
}

// releaseRemoved releases the grants of customers, services and upstreams that were
// removed. It also runs after each renewal, because a request that began before the
// removal may ask for such a grant again.
func (d *Daemon) releaseRemoved() {
	index := d.syncer.load().index
	for _, name := range d.grants.customers.keys() {
		if index.Customer(name) == nil {
			d.grants.releaseCustomer(name)
		}
	}
	for _, key := range d.grants.regions.keys() {
		if index.Service(key.service) == nil {
			d.grants.releaseService(key)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseRemovedUpstreams()
}

// releaseRemovedUpstreams releases the grants, targets and connections of upstreams
// that are no longer listed. The caller holds d.mu.
func (d *Daemon) releaseRemovedUpstreams() {
	for _, id := range append(d.grants.slots.live.keys(), d.grants.conns.live.keys()...) {
		if !d.listed[id] {
			d.grants.releaseUpstream(id)
			d.chooser.targets.remove(id)
			d.pool.CloseUpstream(id)
		}
	}
}

// applyUpstreams passes the platform's list of upstreams to steering and the permit
// queue. The caller holds d.mu.
func (d *Daemon) applyUpstreams(v *view) {
	list := steeringUpstreams(d.upstreams, v.index)
	if err := d.steerer.SetUpstreams(list); err != nil {
		d.cfg.Log.WithError(err).Error("steering rejected the new upstreams and keeps the previous ones")
		return
	}
	// Slots at an upstream that gets no new requests must not allow permits: a request
	// with such a permit would be rejected instead of waiting for a slot elsewhere.
	drained := map[string]bool{}
	for _, drain := range v.index.Document().Drains {
		drained[drain.Upstream] = true
	}
	byService := map[string][]string{}
	d.listed = map[string]bool{}
	for _, u := range list {
		if u.State == steering.UpstreamLive && !drained[u.ID] {
			byService[u.Service] = append(byService[u.Service], u.ID)
		}
		d.listed[u.ID] = true
		d.grants.conn(u.ID) // registered before the first request needs it
	}
	d.queue.setUpstreams(byService)
	d.releaseRemovedUpstreams()
}

// runPlatform polls the platform for its list of upstreams.
func (d *Daemon) runPlatform(ctx context.Context) {
	client := inventory.NewClient(inventory.ClientConfig{Address: d.cfg.Platform, Clock: d.cfg.Clock, Logger: d.cfg.Log})
	defer client.Close()
	inventory.NewPoller(inventory.PollerConfig{
		Client: client, Period: platformPeriod, Logger: d.cfg.Log, OnUpstreams: d.setUpstreams,
	}).Run(ctx)
}

func (d *Daemon) setUpstreams(list inventory.List[inventory.Upstream]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = list.Entries
	d.applyUpstreams(d.syncer.load())
}

// runProbe polls the upstreams for their load.
func (d *Daemon) runProbe(ctx context.Context) {
	d.probe.Run(ctx, probePeriod, func() []inventory.Upstream {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.upstreams
	})
}

// handleLoadReport passes the result of a probe to steering.
func (d *Daemon) handleLoadReport(report inventory.LoadReport) {
	d.handleProbeResult(report)
	if report.HasLoad {
		d.steerer.ReportLoad(steering.LoadReport{
			UpstreamID: report.UpstreamID, InFlight: report.Load.InFlight, Age: report.Age(d.cfg.Clock.Now()),
		})
	}
}

// handleProbeResult decides whether a target with a due probe returns to use: it must
// be healthy and not announce that it leaves.
func (d *Daemon) handleProbeResult(report inventory.LoadReport) {
	if target, ok := d.pendingProbes.remove(report.UpstreamID); ok {
		target.RecordProbe(report.Healthy && !report.Leaving)
	}
}

// runTicks calls tick periodically until the context ends.
func (d *Daemon) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.tick()
	}
}

// tick advances ramps and estimates, applies changed grants, and ends requests that a
// stale view no longer allows.
func (d *Daemon) tick() {
	d.steerer.Tick()
	for _, load := range d.steerer.MeasuredLoads() {
		d.steerer.ReportRegion(load)
	}
	for _, target := range d.steerer.ProbesDue() {
		d.pendingProbes.store(target.Upstream().ID, target)
	}
	d.queue.refresh()
	if view := d.View(); !view.Fresh {
		d.forwarder.Revalidate(view)
	}
}

// vmStatus returns the entry of this VM for the fleet list.
func (d *Daemon) vmStatus() *apipb.Vm {
	v := d.syncer.load()
	age, _ := v.age(d.cfg.Clock.Now())
	return &apipb.Vm{
		Name: d.cfg.VM, Incarnation: d.incarnation, Address: d.cfg.Advertise, Region: d.cfg.Region,
		FailureDomain: d.cfg.FailureDomain, State: d.lifecycle.State(), RevisionInForce: v.revision,
		ViewAgeMs: uint32(age.Milliseconds()), Load: d.queue.load(),
	}
}
