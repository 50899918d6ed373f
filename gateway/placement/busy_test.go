package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// usefulAtFullLoad returns the answers in time of six upstreams that eight VMs ask for
// more than twice of what they can do.
func usefulAtFullLoad(seed uint64) int {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 2)), vms: 8, objects: 24, perSecond: 500, length: 20 * time.Second, keeps: simKeeps,
		list: append(upstreamsOf("r", "r-a", 3, 6), upstreamsOf("r", "r-b", 3, 6)...),
	}
	tables := tablesOf(r)
	r.pick = func(vm int, now time.Time, object uint64) (string, bool) {
		u, verdict := tables[vm].Pick(now, &Query{Urgency: 2, Object: object})
		return u.ID, verdict == Placed
	}
	r.done = func(vm int, now time.Time, id string, o Outcome) { tables[vm].Done(now, id, o) }
	r.run()
	return r.inTime
}

// Guards against slots that stay idle while requests are turned away, because no VM
// knows that another one's request has ended.
func TestSlotsStayBusyWhileRequestsAreTurnedAway(t *testing.T) {
	kept := queueAllowances
	defer func() { queueAllowances = kept }()
	for seed := range uint64(3) {
		queueAllowances = [...]float64{1, 0.5, 0}
		before := usefulAtFullLoad(seed)
		queueAllowances = kept
		after := usefulAtFullLoad(seed)
		t.Logf("seed %d: answers in time %d without a waiting request, %d with it", seed, before, after)
		is.New(t).True(after > before)
	}
}
