package lookup

import (
	"cmp"
	"math/bits"
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	// MaxVMs is the maximum number of VMs in an answer: three of the nearest region
	// and one of the next, in case the nearest region fails.
	MaxVMs = 4
	// bucketsPerVM gives each VM enough buckets that no VM is first for far more
	// callers than another.
	bucketsPerVM = 8
	minBuckets   = 64
	maxBuckets   = 4096
	// loadMargin is the load difference at which the first VM is swapped with the
	// second. Load reports lag, so a smaller margin moves callers back and forth.
	loadMargin = 0.2
)

// candidates holds indexes into table.vms in order of preference.
type candidates [MaxVMs]uint16

// table holds the serving VMs of one region. It is immutable.
type table struct {
	vms     []*apipb.Vm // sorted by name
	buckets []candidates
}

// newTable builds the table of a region. It reuses the buckets of old if the VMs
// are the same, so that a change of load is cheap.
func newTable(vms []*apipb.Vm, old *table) *table {
	slices.SortFunc(vms, func(a, b *apipb.Vm) int { return cmp.Compare(a.GetName(), b.GetName()) })
	t := &table{vms: vms}
	if old != nil && slices.EqualFunc(vms, old.vms, sameNameAndDomain) {
		t.buckets = old.buckets
		return t
	}
	t.build()
	return t
}

func sameNameAndDomain(a, b *apipb.Vm) bool {
	return a.GetName() == b.GetName() && a.GetFailureDomain() == b.GetFailureDomain()
}

func bucketCount(vms int) int {
	n := min(max(bucketsPerVM*vms, minBuckets), maxBuckets)
	return 1 << bits.Len(uint(n-1))
}

func (t *table) build() {
	if len(t.vms) == 0 {
		return
	}
	t.buckets = make([]candidates, bucketCount(len(t.vms)))
	b := newTableBuilder(t.vms)
	for i := range t.buckets {
		t.buckets[i] = b.rank(i)
	}
}

// appendTo appends to dst the VMs at positions from (inclusive) to to (exclusive)
// of the key's order.
func (t *table) appendTo(dst []*apipb.Vm, key uint64, from, to int) []*apipb.Vm {
	if len(t.vms) == 0 {
		return dst
	}
	c := t.buckets[key&uint64(len(t.buckets)-1)]
	if len(t.vms) > 1 && t.vms[c[0]].GetLoad() > t.vms[c[1]].GetLoad()+loadMargin {
		c[0], c[1] = c[1], c[0]
	}
	for _, i := range c[min(from, len(t.vms)):min(to, len(t.vms))] {
		dst = append(dst, t.vms[i])
	}
	return dst
}
