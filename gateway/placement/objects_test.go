package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pattern is a region with six upstreams of six slots, three entry VMs and 64
// objects, of which upstreams are warm for those of their last 57 requests. Cold
// requests alone would need 1.4 times the slots.
func pattern(seed uint64) *replay {
	return &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), vms: 3, objects: 64, perSecond: 125, length: 30 * time.Second, keeps: simKeeps,
		list: append(upstreamsOf("r", "r-a", 3, 6), upstreamsOf("r", "r-b", 3, 6)...),
	}
}

func tablesOf(r *replay) []*Table {
	tables := make([]*Table, r.vms)
	for i := range tables {
		pace := NewShiftLimiter(start, "r")
		tables[i] = NewTable(Location{Region: "r", FailureDomain: "r-a", VM: string(rune('a' + i))}, pace)
		tables[i].SetFleet(nil, r.vms)
		tables[i].SetUpstreams(start, r.list, true)
	}
	return tables
}

// useful returns the answers in time, where the objects of requests are known to the
// tables or not.
func useful(seed uint64, known bool) int {
	r := pattern(seed)
	tables := tablesOf(r)
	r.pick = func(vm int, now time.Time, object uint64) (string, bool) {
		q := &Query{Urgency: 2}
		if known {
			q.Object = object
		}
		u, verdict := tables[vm].Pick(now, q)
		return u.ID, verdict == Placed
	}
	r.done = func(vm int, now time.Time, id string, o Outcome) { tables[vm].Done(now, id, o) }
	r.run()
	return r.inTime
}

// Guards against the collapse in which requests go wherever there is room, upstreams
// are cold for most of them, and the load therefore stays too high: objects have to
// keep to few upstreams even while these are full for a moment.
func TestObjectsKeepToFewUpstreamsUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		scattered, kept := useful(seed, false), useful(seed, true)
		t.Logf("seed %d: answers in time %d scattered, %d kept", seed, scattered, kept)
		is.True(kept > scattered+scattered/4)
		is.True(float64(kept) > 0.9*125*30)
	}
}

// Guards against an object that loses its place when an upstream of another object
// comes or goes.
func TestFewObjectsMoveWhenAnUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	r := pattern(1)
	table := tablesOf(r)[0]
	first := map[uint64]string{}
	for i := range uint64(200) {
		first[i] = placeOnce(table, ObjectHash(string(rune(i+100))))
	}
	table.SetUpstreams(start, r.list[1:], true)
	moved := 0
	for i := range uint64(200) {
		if placeOnce(table, ObjectHash(string(rune(i+100)))) != first[i] && first[i] != r.list[0].ID {
			moved++
		}
	}
	is.Equal(moved, 0)
}

func placeOnce(t *Table, object uint64) string {
	u, _ := t.Pick(start, &Query{Object: object, Urgency: 2})
	t.Done(start, u.ID, Outcome{})
	return u.ID
}

// Guards against two copies of each object in a region whose upstreams have memory for
// one: they are cold for most requests then, and the load stays too high.
func TestUpstreamsWithLittleMemoryStayWarm(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		r := &replay{
			rng: rand.New(rand.NewPCG(seed, 3)), vms: 9, objects: 320, perSecond: 1200, length: 20 * time.Second, keeps: 25,
			list: append(upstreamsOf("r", "r-b", 14, 9), upstreamsOf("r", "r-c", 13, 9)...),
		}
		tables := tablesOf(r)
		r.pick = func(vm int, now time.Time, object uint64) (string, bool) {
			u, verdict := tables[vm].Pick(now, &Query{Object: object, Urgency: 2})
			return u.ID, verdict == Placed
		}
		r.done = func(vm int, now time.Time, id string, o Outcome) { tables[vm].Done(now, id, o) }
		r.run()
		t.Logf("seed %d: %d in time, %d late, %d turned away", seed, r.inTime, r.late, r.turnedAway)
		is.True(r.inTime > 6*r.late) // late are the first requests on objects, not every other one
	}
}

// Guards against objects that are estimated as too few under load, because a waiting
// request is counted again each time that room is looked for.
func TestAWaitingRequestCountsOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable(Location{Region: "r", FailureDomain: "r-a", VM: "a"}, NewShiftLimiter(start, "r"))
	table.SetUpstreams(start, upstreamsOf("r", "r-a", 1, 2), true)
	for object := range 200 {
		q := &Query{Object: ObjectHash(fmt.Sprint(object)), Urgency: 2}
		for range 5 { // all but the first ones find no room
			table.Pick(start, q)
		}
	}
	is.Equal(table.objects.requests, 200)
	is.Equal(table.objects.count(), float64(assumedObjects)) // no repeats to estimate from
}
