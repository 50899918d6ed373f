package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
)

// renewalSizes returns the sizes of a renewal of the number of resources after several
// rounds.
func renewalSizes(resources int) (request, reply int) {
	clk := &clock.Manual{}
	owner := grant.NewOwner(grant.OwnerConfig{Term: 2, NoPredecessor: true}, clk)
	owner.SetCaps(testCaps(resources))
	holder := newHolder(clk, "entry-1", resourceNames(resources)...)
	for range 5 {
		clk.Advance(time.Second)
		createDemand(holder, resourceNames(resources))
		sent := buildRequest(holder, "entry-1")
		got := owner.Renew(sent, true)
		if err := holder.Accept(got); err != nil {
			panic(err) // cannot fail: no message is lost or late
		}
		request, reply = proto.Size(sent), proto.Size(got)
	}
	return request, reply
}

func resourceName(i int) grant.ResourceID { return grant.CustomerID(fmt.Sprintf("customer-%04d", i)) }

func testCaps(n int) []grant.Cap {
	caps := make([]grant.Cap, n)
	for i := range caps {
		caps[i] = grant.Cap{Resource: resourceName(i), Kind: apipb.ResourceKind_RESOURCE_KIND_RATE, Rate: 333.3, Burst: 700}
	}
	return caps
}

func resourceNames(n int) []grant.ResourceID {
	names := make([]grant.ResourceID, n)
	for i := range names {
		names[i] = resourceName(i)
	}
	return names
}

// Guards against renewals whose size grows faster than the number of resources.
func TestMeasureRenewal(t *testing.T) {
	for _, resources := range []int{10, 100, 1000} {
		request, reply := renewalSizes(resources)
		t.Logf("%d resources: request %d B, reply %d B", resources, request, reply)
		if bound := 64 + 108*resources; request+reply > bound {
			t.Errorf("%d resources: %d B a renewal, bound %d", resources, request+reply, bound)
		}
	}
}

// exampleUpstreams is the number of endpoints of the larger deployment.
const exampleUpstreams = 27

// exampleRenewalSize returns the bytes of one renewal of a daemon that uses every
// resource of the example document.
func exampleRenewalSize(t *testing.T) (resources, bytes int) {
	t.Helper()
	doc, err := document.Decode(documentOf(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	var upstreams []inventory.Upstream
	for i := range exampleUpstreams {
		service := doc.Services[i%2].Name
		upstreams = append(upstreams, inventory.Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service})
	}
	clk, caps := &clock.Manual{}, capsOfDocument(doc, upstreams)
	owner := grant.NewOwner(grant.OwnerConfig{Term: 2, NoPredecessor: true}, clk)
	owner.SetCaps(caps)
	holder := grant.NewHolder(grant.HolderConfig{VM: "bogota-entry-1", Incarnation: 1 << 60, Environment: trial}, clk)
	for range 5 {
		for _, c := range caps {
			if c.Kind == apipb.ResourceKind_RESOURCE_KIND_RATE {
				holder.Bucket(c.Resource).TryTake(1)
			} else if u := holder.Units(c.Resource); u.TryAcquire() {
				u.Release()
			}
		}
		clk.Advance(grant.RenewInterval)
		request := holder.BuildRequest()
		request.Vm = proto.CloneOf(testVM("bogota-entry-1"))
		reply := owner.Renew(request, true)
		bytes = proto.Size(request) + proto.Size(reply)
		if err := holder.Accept(reply); err != nil {
			t.Fatal(err)
		}
	}
	return len(caps), bytes
}

// Guards against control traffic of one entry daemon above the target at the current
// sizes: one renewal and one poll a second, and the changes of a day.
func TestMeasureEntryDaemonTraffic(t *testing.T) {
	resources, renewed := exampleRenewalSize(t)
	var f fleetCost
	simulate(t, 3, func(b *simCluster) { f = measureFleet(b, 12) })
	watched := f.idleSecond["watcher exchanges"].bytes + f.perChange["watcher exchanges"].bytes*changesPerDay/secondsPerDay
	total := float64(renewed)/grant.RenewInterval.Seconds() + watched
	t.Logf("%d resources: a renewal %d B, polling %.0f B/s, total %.0f B/s", resources, renewed, watched, total)
	if total > targetBytesPerSecond {
		t.Errorf("%.0f B/s of control traffic, target %d", total, targetBytesPerSecond)
	}
}

func testVM(name string) *apipb.Vm {
	return &apipb.Vm{
		Name: name, Incarnation: 1 << 60, Address: "10.100.100.100:8080", Region: "medellin",
		FailureDomain: "medellin-1", State: apipb.VmState_VM_STATE_SERVING, RevisionInForce: 100_000, ViewAgeMs: 300, Load: 0.5,
	}
}

// Guards against sending the fleet list with every renewal.
func TestMeasureFleetList(t *testing.T) {
	for _, vms := range []int{12, 400, 3200} {
		o := newOwnership(&Config{Clock: &clock.Manual{}, Log: discardLog()})
		state := mustTermState(t, o, trial, &leadership{term: 2})
		for i := range vms {
			if err := state.fleet.Heartbeat(testVM(fmt.Sprintf("entry-%04d", i))); err != nil {
				t.Fatal(err)
			}
		}
		first, again := &apipb.RenewReply{}, &apipb.RenewReply{}
		state.addFleet(first, 0)
		state.addFleet(again, first.FleetVersion)
		t.Logf("%d VMs: a changed list %d B, an unchanged one %d B", vms, proto.Size(first), proto.Size(again))
		if proto.Size(again) > 16 || proto.Size(first) > 100*vms {
			t.Errorf("%d VMs: %d B changed, %d B unchanged", vms, proto.Size(first), proto.Size(again))
		}
	}
}

// Guards against fleet lists above the target at the design scale: a change of one
// VM's load must not cost every holder the whole list.
func TestFleetListAtDesignScale(t *testing.T) {
	clk := &clock.Manual{}
	state := mustTermState(t, newOwnership(&Config{Clock: clk, Log: discardLog()}), trial, &leadership{term: 2})
	beat := func(load float64) {
		clk.Advance(grant.RenewInterval)
		for i := range 3200 {
			vm := testVM(fmt.Sprintf("entry-%04d", i))
			if i == 0 {
				vm.Load = load
			}
			if err := state.fleet.Heartbeat(vm); err != nil {
				t.Fatal(err)
			}
		}
	}
	for !state.fleet.Complete() {
		beat(0.5)
	}
	before, after := &apipb.RenewReply{}, &apipb.RenewReply{}
	state.addFleet(before, 0)
	beat(0.9)
	state.addFleet(after, before.FleetVersion)
	if size := proto.Size(after); size > targetBytesPerSecond {
		t.Errorf("a change of one VM's load costs each holder %d B, target %d B/s", size, targetBytesPerSecond)
	}
}

// BenchmarkRenewal reports the time and allocations of a renewal at the owner.
func BenchmarkRenewal(b *testing.B) {
	for _, resources := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(resources), func(b *testing.B) {
			clk := &clock.Manual{}
			owner := grant.NewOwner(grant.OwnerConfig{Term: 2, NoPredecessor: true}, clk)
			owner.SetCaps(testCaps(resources))
			holder := newHolder(clk, "entry-1", resourceNames(resources)...)
			b.ReportAllocs()
			for b.Loop() {
				clk.Advance(time.Second)
				if err := holder.Accept(owner.Renew(buildRequest(holder, "entry-1"), true)); err != nil {
					b.Fatal(err)
				}
			}
			request, reply := renewalSizes(resources)
			b.ReportMetric(float64(request+reply), "message-B/op")
		})
	}
}

// BenchmarkDelta reports the time of the answer to a watcher that is one change behind.
func BenchmarkDelta(b *testing.B) {
	before, after := documentOf(1, 1), documentOf(2, 2)
	b.ReportAllocs()
	for b.Loop() {
		document.Delta(before, after)
	}
}
