package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests sent to regions that their route and customer do not allow, also if the
// allowed ones are full, ejected or evacuated.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	is := is.New(t)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, NewShiftLimiter(start, "a", "r"))
	table.SetUpstreams(start, append(upstreamsOf("r", "r-a", 2, 2), upstreamsOf("far", "far-a", 2, 2)...), true)
	q := func() *Query { return &Query{Object: 7, Urgency: 2, Regions: []string{"far"}} }
	for range 20 {
		u, verdict := table.Pick(start, q())
		is.True(verdict != Placed || u.Region == "far")
	}
	_, verdict := table.Pick(start, q())
	is.Equal(verdict, NoCapacity)
	table.SetEvacuated(start, map[string]bool{"far-a": true})
	_, verdict = table.Pick(start, q())
	is.Equal(verdict, NoUpstream)
	u, verdict := table.Pick(start, &Query{Urgency: 2})
	is.Equal(verdict, Placed)
	is.Equal(u.Region, "r")
}

// Guards against rejected requests of a customer that is restricted to another region, because its
// objects are assigned to upstreams of a region that it may not use.
func TestRestrictedRequestsUseHoldersInAllowedRegions(t *testing.T) {
	is := is.New(t)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, NewShiftLimiter(start, "a", "r"))
	table.SetUpstreams(start, append(upstreamsOf("bound", "bound-a", 2, 6), upstreamsOf("other", "other-a", 20, 6)...), true)
	for object := range 50 {
		u, verdict := table.Pick(start, &Query{Object: ObjectHash(fmt.Sprint(object)), Urgency: 2, Regions: []string{"bound"}})
		is.Equal(verdict, Placed)
		table.Done(start, u.ID, Outcome{Reported: true, Running: 1})
	}
}

// Guards against rejected requests of a customer that is restricted to a region, while upstreams there are idle
// that have not cached its object; and against such requests filling all slots.
func TestRestrictedRequestsUseIdleUpstreamsOfTheirRegion(t *testing.T) {
	const upstreams, slots = 20, 6
	for _, self := range []string{"bound", "other"} {
		is := is.New(t)
		table := NewTable(Location{Region: self, FailureDomain: self + "-a", VM: "a"}, NewShiftLimiter(start, "a", self))
		table.SetUpstreams(start, append(upstreamsOf("bound", "bound-a", upstreams, slots), upstreamsOf("other", "other-a", upstreams, slots)...), true)
		placed, verdict := 0, Placed
		for ; verdict == Placed; placed++ {
			_, verdict = table.Pick(start, &Query{Object: ObjectHash("popular"), Urgency: 2, Regions: []string{"bound"}})
		}
		is.True(placed > upstreams*slots*restrictedMaxUtilization-slots)
		is.True(placed <= upstreams*slots*restrictedMaxUtilization+maxCopies*(slots+2)) // the upstreams that keep it may be full
	}
}

// Guards against requests that a full region sends to one with fewer slots than its own callers
// need, where they evict its objects.
func TestRegionsWithFewSlotsReceiveNoOverflow(t *testing.T) {
	is := is.New(t)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, NewShiftLimiter(start, "a", "r"))
	list := append(upstreamsOf("r", "r-a", 1, 2), upstreamsOf("few", "few-a", 3, 6)...)
	table.SetUpstreams(start, append(list, upstreamsOf("many", "many-a", 9, 6)...), true)
	table.shiftLimiter.Suspend(start.Add(outageSuspension))
	for object := range 200 {
		u, _ := table.Pick(start, &Query{Object: ObjectHash(fmt.Sprint(object)), Urgency: 2})
		is.True(u.Region != "few")
	}
}
