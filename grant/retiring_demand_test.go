package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// regionHolder is a holder of a region with its bucket and its units.
type regionHolder struct {
	*Holder
	region string
	bucket *Bucket
	units  *Units
	demand int // requests in each tenth of a second, and units in use
}

func newRegionHolder(c clock.Clock, vm, region string, demand int) *regionHolder {
	h, b, u := newTestHolder(c, vm)
	return &regionHolder{Holder: h, region: region, bucket: b, units: u, demand: demand}
}

func (h *regionHolder) renew(is *is.I, o *Owner) {
	request := h.BuildRequest()
	request.Vm.Region = h.region
	is.NoErr(h.Accept(o.Renew(request, true)))
}

// load takes tokens and units for 100 ms.
func (h *regionHolder) load() {
	for range h.demand {
		h.bucket.TryTake(1)
		if h.units.TryAcquire() {
			h.units.Release()
		}
	}
}

// runHolders lets the holders renew and take for some time.
func runHolders(is *is.I, c *clock.Manual, o *Owner, d time.Duration, holders ...*regionHolder) {
	const step = 100 * time.Millisecond
	for range d / step {
		for _, h := range holders {
			if h.NeedsRenewal() {
				h.renew(is, o)
			}
			h.load()
		}
		c.Advance(step)
	}
}

// Guards against the callers of a stopping VM being rejected by the VM that they move to, because
// shares of VMs without requests are small and grow only after rejections.
func TestRetiringHolderLeavesItsDemandToItsRegion(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := NewOwner(OwnerConfig{Term: 1, Quarantine: testQuarantine, NoPredecessor: true}, &c)
	o.SetCaps([]Cap{
		{Resource: simRate, Rate: 200, Burst: 100},
		{Resource: simUnits, Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 4},
	})
	const rate = 40 // requests a second at each VM with callers
	retiring := newRegionHolder(&c, "a-1", "a", rate/10)
	successor := newRegionHolder(&c, "a-2", "a", 0)
	other := newRegionHolder(&c, "b-1", "b", rate/10)
	idle := newRegionHolder(&c, "b-2", "b", 0)
	holders := []*regionHolder{retiring, successor, other, idle}
	runHolders(is, &c, o, 10*time.Second, holders...)
	is.True(successor.bucket.rate < rate) // the rate follows demand
	retiring.Retire()
	runHolders(is, &c, o, 2*(RenewInterval+MinRenewInterval), holders...)
	is.True(successor.bucket.rate >= rate*(1-rateDeadband)) // before any of its callers came
	is.True(retiring.bucket.rate >= rate*(1-rateDeadband))  // they leave one by one
	is.True(other.bucket.rate >= rate*(1-rateDeadband))
	is.True(idle.bucket.rate < rate/2)
}

// Guards against a region whose only VM stops and whose demand is then planned for nobody.
func TestRetiringHolderAloneInItsRegionLeavesItsDemandToAll(t *testing.T) {
	is := is.New(t)
	var c clock.Manual
	o := newTestOwner(&c, 1)
	retiring := newRegionHolder(&c, "a-1", "a", 6)
	first, second := newRegionHolder(&c, "b-1", "b", 1), newRegionHolder(&c, "c-1", "c", 1)
	runHolders(is, &c, o, 10*time.Second, retiring, first, second)
	before := first.bucket.rate
	retiring.Retire()
	runHolders(is, &c, o, 2*(RenewInterval+MinRenewInterval), retiring, first, second)
	is.True(first.bucket.rate > before*1.2)
	is.True(second.bucket.rate > before*1.2)
}
