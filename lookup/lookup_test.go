package lookup_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/lookup"
)

func regions(n int) []lookup.Region {
	var out []lookup.Region
	for i := range n {
		out = append(out, lookup.Region{Name: fmt.Sprint("region-", i)})
	}
	return out
}

// servingVMs returns VMs in state serving, spread over the regions with three
// failure domains each.
func servingVMs(vms, regions int) []*apipb.Vm {
	var out []*apipb.Vm
	for i := range vms {
		out = append(out, &apipb.Vm{
			Name: fmt.Sprint("vm-", i), Region: fmt.Sprint("region-", i%regions),
			FailureDomain: fmt.Sprint("domain-", i%regions, "-", i/regions%3), State: apipb.VmState_VM_STATE_SERVING,
		})
	}
	return out
}

func newRanker(t testing.TB, n int, vms []*apipb.Vm) *lookup.Ranker {
	r, err := lookup.New("region-0", regions(n))
	if err != nil {
		t.Fatal(err)
	}
	r.Update(vms)
	return r
}

// callerKeys returns the keys of callerKeys of one /24 block.
func callerKeys(n int) []uint64 {
	var out []uint64
	for i := range n {
		addr := netip.AddrFrom4([4]byte{10, 1, 2, byte(i)})
		out = append(out, lookup.Key(netip.AddrPortFrom(addr, uint16(40000+i/256))))
	}
	return out
}

// Guards against answers that contain VMs not in state serving, duplicates or too
// few VMs, that order regions wrongly, or whose first two VMs share a failure domain.
func TestRankOrderAndDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "regions")
		vms := servingVMs(rapid.IntRange(0, 20).Draw(t, "vms"), n)
		serving := make(map[string]int)
		domains, counted := make(map[string]int), make(map[string]bool)
		for _, vm := range vms {
			vm.State = apipb.VmState(rapid.IntRange(1, 4).Draw(t, "state"))
			vm.Load = rapid.Float64Range(0, 1).Draw(t, "load")
			if vm.GetState() == apipb.VmState_VM_STATE_SERVING {
				serving[vm.GetRegion()]++
				if !counted[vm.GetFailureDomain()] {
					counted[vm.GetFailureDomain()] = true
					domains[vm.GetRegion()]++
				}
			}
		}
		r, err := lookup.New("region-0", regions(n))
		if err != nil {
			t.Fatal(err)
		}
		r.Update(vms)
		from := rapid.IntRange(0, n-1).Draw(t, "from")
		answer := r.Rank(nil, fmt.Sprint("region-", from), rapid.Uint64().Draw(t, "key"))
		total, seen, last := 0, make(map[string]bool), 0
		for _, c := range serving {
			total += c
		}
		if len(answer) != min(total, lookup.MaxVMs) {
			t.Fatalf("%d VMs in the answer, %d serving", len(answer), total)
		}
		for _, vm := range answer {
			var number int
			fmt.Sscanf(vm.GetRegion(), "region-%d", &number)
			distance := (number - from + n) % n
			if vm.GetState() != apipb.VmState_VM_STATE_SERVING || seen[vm.GetName()] {
				t.Fatalf("VM not serving or duplicated: %v", answer)
			}
			if distance < last {
				t.Fatalf("regions out of order: %v", answer)
			}
			seen[vm.GetName()], last = true, distance
		}
		if len(answer) > 1 && answer[0].GetFailureDomain() == answer[1].GetFailureDomain() && domains[answer[0].GetRegion()] > 1 {
			t.Fatalf("first two VMs in one failure domain: %v", answer)
		}
	})
}

// Guards against all callers of one address block using the same VM.
func TestCallersOfOneBlockAreSpread(t *testing.T) {
	is := is.New(t)
	r := newRanker(t, 3, servingVMs(12, 3))
	first := make(map[string]int)
	keys := callerKeys(4000)
	for _, key := range keys {
		first[r.Rank(nil, "region-1", key)[0].GetName()]++
	}
	is.Equal(len(first), 4)
	for _, n := range first {
		is.True(n < len(keys)/2 && n > len(keys)/10)
	}
}

// Guards against the restart of one VM moving callers of other VMs.
func TestOneChangeMovesFewCallers(t *testing.T) {
	is := is.New(t)
	vms := servingVMs(12, 1)
	r := newRanker(t, 1, vms)
	before := make(map[uint64]string)
	for _, key := range callerKeys(1000) {
		before[key] = r.Rank(nil, "region-0", key)[0].GetName()
	}
	r.Update(slices.Concat(vms[:5], vms[6:]))
	for key, name := range before {
		is.True(name == vms[5].GetName() || r.Rank(nil, "region-0", key)[0].GetName() == name)
	}
}

// Guards against a heavily loaded VM ranked first.
func TestLoadedVMIsNotFirst(t *testing.T) {
	is := is.New(t)
	vms := servingVMs(4, 1)
	r := newRanker(t, 1, vms)
	for _, vm := range vms[1:] {
		vm.Load = 0.3
	}
	vms[0].Load = 0.9
	r.Update(vms)
	for _, key := range callerKeys(200) {
		is.True(r.Rank(nil, "region-0", key)[0] != vms[0])
	}
}

// Guards against a panic without VMs, and against an empty answer for callers of
// an unknown region.
func TestUnknownRegionUsesHomeRegion(t *testing.T) {
	is := is.New(t)
	_, err := lookup.New("elsewhere", regions(2))
	is.True(errors.Is(err, lookup.ErrUnknownHome))
	r := newRanker(t, 2, nil)
	is.Equal(len(r.Rank(nil, "region-1", 1)), 0)
	r.Update(servingVMs(4, 2))
	is.Equal(r.Rank(nil, "", 1)[0].GetRegion(), "region-0")
}

// Guards against allocations by Rank when dst has enough capacity.
func TestRankDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := newRanker(t, 3, servingVMs(12, 3))
	answer := make([]*apipb.Vm, 0, lookup.MaxVMs)
	caller := netip.MustParseAddrPort("10.1.2.3:40000")
	is.Equal(testing.AllocsPerRun(100, func() { answer = r.Rank(answer[:0], "region-2", lookup.Key(caller)) }), 0.0)
	is.Equal(len(answer), lookup.MaxVMs)
}

func BenchmarkRank(b *testing.B) {
	for _, size := range [][2]int{{12, 3}, {3200, 11}} {
		b.Run(fmt.Sprintf("vms=%d", size[0]), func(b *testing.B) {
			r := newRanker(b, size[1], servingVMs(size[0], size[1]))
			answer := make([]*apipb.Vm, 0, lookup.MaxVMs)
			keys := callerKeys(1 << 16)
			names := regions(size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				answer = r.Rank(answer[:0], names[i%len(names)].Name, keys[i&(1<<16-1)])
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, size := range [][2]int{{12, 3}, {3200, 11}} {
		for restarts, name := range []string{"load", "restart"} {
			b.Run(fmt.Sprintf("vms=%d/%s", size[0], name), func(b *testing.B) {
				vms := servingVMs(size[0], size[1])
				r := newRanker(b, size[1], vms)
				b.ResetTimer()
				for i := range b.N {
					r.Update(vms[:len(vms)-restarts*(i%2)])
				}
			})
		}
	}
}
