package entry

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/steering"
)

// decisionFixture holds what is needed to admit a request and choose its upstream,
// with real grants.
type decisionFixture struct {
	grants  *grants
	chooser *chooser
	queue   *permitQueue
	ctx     context.Context
}

func newDecisionFixture(t testing.TB) *decisionFixture {
	t.Helper()
	raw, err := os.ReadFile("../examples/bancas.yaml")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.NewSystem()
	d := &decisionFixture{grants: newGrants(grant.NewHolder(grant.HolderConfig{VM: "vm", Incarnation: 1}, clk))}
	d.chooser = &chooser{steerer: steering.New(clk, nil), grants: d.grants}
	d.queue = newPermitQueue(clk, d.grants, func(string) float64 { return 1 }, d.chooser.countRequest)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	t.Cleanup(cancel)
	d.ctx = ctx

	caps := []grant.Cap{{Resource: grant.CustomerID("belen"), Rate: 1e9, Burst: 1e9}}
	var upstreams []steering.Upstream
	var ids []string
	for _, r := range doc.Regions {
		caps = append(caps, grant.Cap{Resource: grant.RegionID(r.Name, "records"), Rate: 1e9, Burst: 1e9})
		for n := range 5 {
			id := fmt.Sprintf("%s-%d", r.Name, n)
			ids = append(ids, id)
			upstreams = append(upstreams, steering.Upstream{ID: id, Service: "records", Region: r.Name, Slots: 6, Address: "127.0.0.1:1"})
			caps = append(caps, grant.Cap{Resource: grant.SlotsID(id), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 6})
		}
	}
	if err := d.chooser.steerer.SetConfig(steeringConfig(doc)); err != nil {
		t.Fatal(err)
	}
	if err := d.chooser.steerer.SetUpstreams(upstreams); err != nil {
		t.Fatal(err)
	}
	d.queue.setUpstreams(map[string][]string{"records": ids})
	d.renew(t, clk, caps, doc)
	return d
}

// renew obtains grants twice, since a bucket reports its demand with the first renewal.
func (d *decisionFixture) renew(t testing.TB, clk clock.Clock, caps []grant.Cap, doc *document.Document) {
	owner := grant.NewOwner(grant.OwnerConfig{Term: 1, Lease: time.Hour, NoPredecessor: true}, clk)
	owner.SetCaps(caps)
	d.grants.customer("belen")
	for _, r := range doc.Regions {
		d.grants.region(r.Name, "records")
	}
	for range 2 {
		if err := d.grants.holder.Accept(owner.Renew(d.grants.holder.BuildRequest(), true)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(10 * time.Millisecond) // new buckets start empty; 1e9 tokens a second fill them enough
	d.queue.refresh()
}

// decide admits a request and chooses its region and upstream.
func (d *decisionFixture) decide() bool {
	if _, ok := (admitter{d.grants}).Admit(d.ctx, "belen", time.Time{}); !ok {
		return false
	}
	if d.queue.Acquire(d.ctx, "records", "belen") != nil {
		return false
	}
	defer d.queue.Release("records", "belen")
	var buf [4]string
	q := forward.Query{Service: "records", Customer: "belen", From: "bogota", Idempotent: true}
	for _, region := range d.chooser.Regions(buf[:0], q) {
		if _, ok := (regionGrants{d.grants}).TryTake(region, q.Service); !ok {
			continue
		}
		u, ok := d.chooser.Pick(q, region, nil)
		if !ok || !(slotGrants{d.grants}).TryAcquire(u.Name) {
			return false
		}
		(slotGrants{d.grants}).Release(u.Name)
		d.chooser.Report(q, u, forward.Report{Result: forward.ResultCompleted, Elapsed: time.Millisecond})
		return true
	}
	return false
}

// Guards against allocations on the path of every request: admitting it and choosing
// its upstream must not allocate.
func TestDecisionDoesNotAllocate(t *testing.T) {
	d := newDecisionFixture(t)
	for range 100 {
		if !d.decide() {
			t.Fatal("not admitted")
		}
	}
	if n := testing.AllocsPerRun(2000, func() { d.decide() }); n > 0 {
		t.Fatalf("%v allocations a decision, expected none", n)
	}
}

// BenchmarkDecision measures admitting one request and choosing its upstream.
func BenchmarkDecision(b *testing.B) {
	d := newDecisionFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		if !d.decide() {
			b.Fatal("not admitted")
		}
	}
}
