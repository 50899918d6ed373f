package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// Together with the 8 customers of loadRates, wireLinks and wireRegions make 26 rates.
const (
	wireLinks    = 6
	wireRegions  = 12
	wireHolders  = 12
	wireHoldTime = 60 * time.Millisecond // mean time that a request holds a slot
)

// wireCaps returns the caps of the larger deployment: 26 rates, and slots and connections for
// each upstream.
func wireCaps(upstreams int) (caps []Cap) {
	for i, rate := range loadRates {
		caps = append(caps, Cap{Resource: CustomerID(fmt.Sprint(i)), Rate: rate, Burst: 2 * rate})
	}
	for i := range wireLinks {
		caps = append(caps, Cap{Resource: linkOf(i), Rate: 5e8, Burst: 5e8, MinDepth: 64 << 10})
	}
	for i := range wireRegions {
		caps = append(caps, Cap{Resource: regionOf(i), Rate: 1000, Burst: 1000})
	}
	for i := range upstreams {
		caps = append(caps,
			Cap{Resource: SlotsID(upstreamOf(i)), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 9},
			Cap{Resource: ConnsID(upstreamOf(i)), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 390})
	}
	return caps
}

func linkOf(i int) ResourceID   { return LinkID("dakar", fmt.Sprintf("kaolack%d", i)) }
func regionOf(i int) ResourceID { return RegionID("dakar", fmt.Sprintf("service%d", i)) }
func upstreamOf(i int) string   { return fmt.Sprintf("10.0.0.%d:8080", i) }
func wireVM(vm *apipb.Vm) *apipb.Vm {
	return &apipb.Vm{
		Name: vm.GetName(), Incarnation: vm.GetIncarnation(), Address: "10.0.1.100:8080",
		Region: "dakar", FailureDomain: "dakar-a", State: apipb.VmState_VM_STATE_SERVING,
		RevisionInForce: 12_000, ViewAgeMs: 700, Load: 0.3,
	}
}

// wireRequest is one request that holds units of an upstream.
type wireRequest struct {
	end   time.Duration
	units []*Units
}

// wireLoad simulates requests that use all kinds of resources.
type wireLoad struct {
	w         *simWorld
	upstreams int
	running   []wireRequest
}

func (l *wireLoad) step() {
	l.w.step(loadTick)
	kept := l.running[:0]
	for _, r := range l.running {
		if l.w.now < r.end {
			kept = append(kept, r)
			continue
		}
		for _, u := range r.units {
			u.Release()
		}
	}
	l.running = kept
	for customer, rate := range loadRates {
		for _, h := range l.w.holders {
			for range l.w.poisson(0.8 * rate / wireHolders * loadTick.Seconds()) {
				l.request(h.holder, customer)
			}
		}
	}
}

func (l *wireLoad) request(h *Holder, customer int) {
	rng := l.w.rng
	if !h.Bucket(CustomerID(fmt.Sprint(customer))).TryTake(1) {
		return
	}
	h.Bucket(regionOf(rng.IntN(wireRegions))).TryTake(1)
	if r, ok := h.Bucket(linkOf(rng.IntN(wireLinks))).Reserve(64 << 10); ok {
		h.Bucket(linkOf(0)).Refund(r, 0)
	}
	upstream := upstreamOf(rng.IntN(l.upstreams))
	// Like steering, try a second upstream if the first one has no free slot.
	if used, granted := h.Units(SlotsID(upstream)).InUse(); used >= granted {
		upstream = upstreamOf(rng.IntN(l.upstreams))
	}
	request := wireRequest{end: l.w.now + time.Duration(rng.ExpFloat64()*float64(wireHoldTime))}
	for _, id := range []ResourceID{SlotsID(upstream), ConnsID(upstream)} {
		if u := h.Units(id); u.TryAcquire() {
			request.units = append(request.units, u)
		}
	}
	l.running = append(l.running, request)
}

// wireTraffic is the mean size of messages in bytes, and the bytes and renewals per second of one
// holder.
type wireTraffic struct{ request, reply, perSecond, renewals float64 }

func measureTraffic(upstreams int, seed uint64) wireTraffic {
	const duration = 30 * time.Second
	w := newSimWorld(seed, OwnerConfig{Quarantine: simDeadline}, wireCaps(upstreams))
	w.delays = func() []time.Duration { return []time.Duration{55 * time.Millisecond} }
	w.elect()
	for i := range wireHolders {
		w.addHolder(fmt.Sprintf("vm%d", i), 1_700_000_000_000)
	}
	load := &wireLoad{w: w, upstreams: upstreams}
	var requests, replies, sent, answered float64
	w.observe = func(m simMessage) {
		switch {
		case w.now <= warmUp:
		case m.request != nil:
			m.request.Vm = wireVM(m.request.GetVm())
			m.request.HaveFleetVersion = 1 << 32
			requests, sent = requests+float64(proto.Size(m.request)), sent+1
		default:
			m.reply.FleetVersion = 1 << 32
			replies, answered = replies+float64(proto.Size(m.reply)), answered+1
		}
	}
	for w.now < warmUp+duration {
		load.step()
	}
	perHolder := wireHolders * duration.Seconds()
	return wireTraffic{
		request: requests / sent, reply: replies / answered,
		perSecond: (requests + replies) / perHolder, renewals: sent / perHolder,
	}
}

// Guards against renewals that exceed the budget for control traffic of an entry daemon: 6 KB/s,
// of which polls take 0.4 KB/s.
func TestRenewalsFitTheBudget(t *testing.T) {
	is := is.New(t)
	small, large := measureTraffic(32, 1), measureTraffic(96, 1)
	growth := (large.perSecond - small.perSecond) / 128
	t.Logf("90 resources %+v, 218 resources %+v, %.1f B/s for each additional resource", small, large, growth)
	is.True(small.perSecond < 4000)
	// The budget also holds with as many early renewals as possible.
	most := float64(time.Second / MinRenewInterval)
	is.True(most*(small.request+small.reply) < 4000)
	is.True(growth < 16)
}
