package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answersInTimeAtFullLoad returns the answers in time of six upstreams under load from eight VMs at
// more than twice their capacity.
func answersInTimeAtFullLoad(seed uint64) int {
	r := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), vms: 8, objects: 24, perSecond: 500, duration: 20 * time.Second, cacheSize: simCacheSize,
		list: append(upstreamsOf("r", "r-a", 3, 6), upstreamsOf("r", "r-b", 3, 6)...),
	}
	tables := newTables(r)
	r.pick = func(vm int, now time.Time, object uint64) (string, bool) {
		u, verdict := tables[vm].Pick(now, &Query{Urgency: 2, Object: object})
		return u.ID, verdict == Placed
	}
	r.done = func(vm int, now time.Time, id string, o Outcome) { tables[vm].Done(now, id, o) }
	r.run()
	return r.inTime
}

// Guards against slots that stay idle while requests are rejected, because no VM knows that a
// request of another VM has ended.
func TestSlotsStayBusyWhileRequestsAreRejected(t *testing.T) {
	original := queueAllowances
	defer func() { queueAllowances = original }()
	for seed := range uint64(3) {
		queueAllowances = [...]float64{1, 0.5, 0}
		before := answersInTimeAtFullLoad(seed)
		queueAllowances = original
		after := answersInTimeAtFullLoad(seed)
		t.Logf("seed %d: answers in time: %d without a waiting request, %d with it", seed, before, after)
		is.New(t).True(after > before)
	}
}
