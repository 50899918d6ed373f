package demand_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/axiomhq/hyperloglog"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/demand"
)

var start = time.Unix(1_000_000, 0)

func objectHash(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(i)) }

// Guards against VMs that disagree on the number of objects because each sees too few requests: 92 VMs
// of a region with 811 objects see 6 requests a second each.
func TestObjectsOfAllVMsAreCounted(t *testing.T) {
	is := is.New(t)
	const vms, objects, requestsPerVM = 92, 811, 60
	rng := rand.New(rand.NewPCG(1, 1))
	table := demand.NewTable()
	now := start
	for vm := range vms {
		var recorder demand.Recorder
		for i := range requestsPerVM {
			now = start.Add(time.Duration(i) * 160 * time.Millisecond)
			recorder.Record(now, objectHash(rng.IntN(objects)), "")
		}
		is.NoErr(table.Record(now, fmt.Sprint(vm), "r", []demand.Report{recorder.Report(now, "s", 2)}))
	}
	got := table.Summary(now)[demand.Key{Service: "s", Region: "r"}]
	is.True(math.Abs(got.Objects-objects) < 0.2*objects) // three standard errors of a sketch
	is.Equal(got.Running, 2.0*vms)
}

// Guards against a number of objects that is taken for known while hardly any was requested twice.
func TestObjectsAreUnknownUntilTheyRepeat(t *testing.T) {
	is := is.New(t)
	var recorder demand.Recorder
	for i := range 50 {
		recorder.Record(start, objectHash(i), "")
	}
	table := demand.NewTable()
	is.NoErr(table.Record(start, "vm", "r", []demand.Report{recorder.Report(start, "s", 0)}))
	is.Equal(table.Summary(start)[demand.Key{Service: "s", Region: "r"}].Objects, 0.0)
}

// Guards against demand of a VM that is gone, and against demand that is bound to a region counting
// for the region of its callers.
func TestDemandFollowsTheReports(t *testing.T) {
	is := is.New(t)
	table := demand.NewTable()
	second := start.Add(time.Second)
	for _, vm := range []string{"a", "b"} {
		var recorder demand.Recorder
		recorder.Report(start, "s", 0)
		for range 20 {
			recorder.Record(start.Add(time.Millisecond), objectHash(1), "")
		}
		for range 10 {
			recorder.Record(start.Add(time.Millisecond), objectHash(2), "elsewhere")
		}
		is.NoErr(table.Record(second, vm, "r", []demand.Report{recorder.Report(second, "s", 1)}))
	}
	is.Equal(table.Summary(second)[demand.Key{Service: "s", Region: "r"}].Rate, 30.0) // half of it after one interval
	is.Equal(table.Summary(second)[demand.Key{Service: "s", Region: "elsewhere"}].Bound, 10.0)
	is.Equal(table.Summary(second)[demand.Key{Service: "s", Region: "r"}].Bound, 0.0)
	later := second.Add(3 * time.Second)
	is.NoErr(table.Record(later, "a", "r", []demand.Report{{Service: "s", Rate: 7}}))
	later = later.Add(2 * time.Second)
	is.Equal(table.Summary(later)[demand.Key{Service: "s", Region: "r"}].Rate, 7.0) // b is silent
}

// Guards against a report that cannot be read replacing the one before, and against a crash by it.
func TestInvalidSketchIsAnError(t *testing.T) {
	is := is.New(t)
	table := demand.NewTable()
	is.NoErr(table.Record(start, "a", "r", []demand.Report{{Service: "s", Rate: 5}}))
	for _, sketch := range [][]byte{{1}, {9, 9, 9, 9, 9, 9, 9, 9}, make([]byte, 300)} {
		is.True(table.Record(start, "a", "r", []demand.Report{{Service: "s", Rate: 1, Sketch: sketch}}) != nil)
	}
	is.Equal(table.Summary(start)[demand.Key{Service: "s", Region: "r"}].Rate, 5.0)
}

// Guards against a number of one VM that makes the totals of all VMs useless.
func TestInvalidNumbersAreAnError(t *testing.T) {
	is := is.New(t)
	table := demand.NewTable()
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		for _, report := range []demand.Report{{Rate: bad}, {Running: bad}, {Bound: map[string]float64{"r": bad}}} {
			is.True(table.Record(start, "a", "r", []demand.Report{report}) != nil)
		}
	}
	is.Equal(len(table.Summary(start)), 0)
}

// Guards against a sketch of another precision, as from another version, that stops the merging.
func TestSketchOfAnotherPrecisionIsIgnored(t *testing.T) {
	is := is.New(t)
	other, err := hyperloglog.NewSketch(10, false)
	is.NoErr(err)
	other.InsertHash(objectHash(1))
	raw, err := other.MarshalBinary()
	is.NoErr(err)
	table := demand.NewTable()
	var recorder demand.Recorder
	for i := range 100 {
		recorder.Record(start, objectHash(i%10), "")
	}
	is.NoErr(table.Record(start, "b", "r", []demand.Report{recorder.Report(start, "s", 0)}))
	if table.Record(start, "a", "r", []demand.Report{{Service: "s", Sketch: raw, Requests: 1}}) == nil {
		t.Fatal("a sketch of another precision was accepted")
	}
	objects := table.Summary(start)[demand.Key{Service: "s", Region: "r"}].Objects
	is.True(objects > 8 && objects < 12)
}
