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

// View returns the view that a request is decided by.
func (d *Daemon) View() forward.View {
	v := d.keeper.load()
	age, confirmed := v.age(d.cfg.Clock.Now())
	out := forward.View{Index: v.index, Revision: v.revision, Region: d.cfg.Region}
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

// applyView hands a new document to everything that depends on it.
func (d *Daemon) applyView(v *view) {
	doc := v.index.Document()
	d.mu.Lock()
	if err := d.steerer.SetConfig(steeringConfig(doc)); err != nil {
		d.cfg.Log.WithError(err).Error("steering keeps its former rules")
	}
	d.applyUpstreams(v)
	d.mu.Unlock()
	d.handBack()
	d.prepareGrants(doc)
	d.lookups.setRegions(doc, d.cfg.Region)
	d.forwarder.Revalidate(d.View())
}

// prepareGrants names every rate that a request may need, so that the next
// renewal asks for them: a rate named by its first request would refuse it.
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

// serveWhenReady ends the start once there is a confirmed view and a renewal
// that could ask for the grants of its document. Before that, look-ups must not
// name this VM: it would refuse requests for lack of grants.
func (d *Daemon) serveWhenReady() {
	d.queue.refresh()
	d.handBack()
	if d.lifecycle.State() != apipb.VmState_VM_STATE_STARTING || !d.View().Fresh {
		return
	}
	// Without upstreams there are no slots to wait for.
	if d.renewals++; d.queue.empty() && d.renewals < maxStartRenewals {
		return
	}
	if d.lifecycle.Serve() == nil {
		d.cfg.Ready.SetState("serving", true)
		d.cfg.Log.Info("serving")
	}
}

// handBack gives up the grants of customers, services and upstreams that are
// gone. It also runs after each renewal, because a request that began before the
// change may ask for such a grant once more.
func (d *Daemon) handBack() {
	index := d.keeper.load().index
	for _, name := range d.grants.customers.keys() {
		if index.Customer(name) == nil {
			d.grants.forgetCustomer(name)
		}
	}
	for _, key := range d.grants.regions.keys() {
		if index.Service(key.service) == nil {
			d.grants.forgetService(key)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handBackUpstreams()
}

// handBackUpstreams gives up what is held of unlisted upstreams. The lock is held.
func (d *Daemon) handBackUpstreams() {
	for _, id := range append(d.grants.slots.live.keys(), d.grants.conns.live.keys()...) {
		if !d.listed[id] {
			d.grants.forgetUpstream(id)
			d.chooser.targets.remove(id)
			d.pool.Forget(id)
		}
	}
}

// applyUpstreams hands the platform's list to steering. The lock is held.
func (d *Daemon) applyUpstreams(v *view) {
	list := steeringUpstreams(d.upstreams, v.index)
	if err := d.steerer.SetUpstreams(list); err != nil {
		d.cfg.Log.WithError(err).Error("steering keeps its former upstreams")
		return
	}
	// Slots at an upstream that gets no new work allow no turn: a request with such
	// a turn would be refused instead of waiting for a slot elsewhere.
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
		d.grants.conn(u.ID) // asked for before the first request needs one
	}
	d.queue.setUpstreams(byService)
	d.handBackUpstreams()
}

// runPlatform follows the platform's list of upstreams.
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
	d.applyUpstreams(d.keeper.load())
}

// runProbe asks the upstreams for their load.
func (d *Daemon) runProbe(ctx context.Context) {
	d.probe.Run(ctx, probePeriod, func() []inventory.Upstream {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.upstreams
	})
}

func (d *Daemon) takeLoad(report inventory.LoadReport) {
	d.takeProbe(report)
	if report.HasLoad {
		d.steerer.ReportLoad(steering.LoadReport{
			UpstreamID: report.UpstreamID, InFlight: report.Load.InFlight, Age: report.Age(d.cfg.Clock.Now()),
		})
	}
}

// takeProbe lets an upstream return that had announced that it leaves and now
// answers as a healthy one.
func (d *Daemon) takeProbe(report inventory.LoadReport) {
	if target, ok := d.probing.remove(report.UpstreamID); ok {
		target.RecordProbe(report.Healthy && !report.Leaving)
	}
}

// runTicks ticks until the context ends.
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

// tick moves ramps and estimates, takes in grants, and ends what a stale view no
// longer allows.
func (d *Daemon) tick() {
	d.steerer.Tick()
	for _, load := range d.steerer.MeasuredLoads() {
		d.steerer.ReportRegion(load)
	}
	for _, target := range d.steerer.ProbesDue() {
		d.probing.store(target.Upstream().ID, target)
	}
	d.queue.refresh()
	if view := d.View(); !view.Fresh {
		d.forwarder.Revalidate(view)
	}
}

// describe returns this VM as the fleet shall see it.
func (d *Daemon) describe() *apipb.Vm {
	v := d.keeper.load()
	age, _ := v.age(d.cfg.Clock.Now())
	return &apipb.Vm{
		Name: d.cfg.VM, Incarnation: d.incarnation, Address: d.cfg.Advertise, Region: d.cfg.Region,
		FailureDomain: d.cfg.FailureDomain, State: d.lifecycle.State(), RevisionInForce: v.revision,
		ViewAgeMs: uint32(age.Milliseconds()), Load: d.queue.load(),
	}
}
