package lookup

import (
	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/apipb"
)

// scoredVM is a VM with its score for the current bucket.
type scoredVM struct {
	score uint64
	vm    uint16
}

// failureDomain holds the best VMs of one failure domain, best first.
type failureDomain struct {
	best [MaxVMs]scoredVM
	n    int
	next int // index in best of the next VM to pick
}

// add inserts s if it is among the MaxVMs best of the domain.
func (d *failureDomain) add(s scoredVM) {
	if d.n == MaxVMs && s.score <= d.best[MaxVMs-1].score {
		return
	}
	if d.n < MaxVMs {
		d.n++
	}
	i := d.n - 1
	for ; i > 0 && d.best[i-1].score < s.score; i-- {
		d.best[i] = d.best[i-1]
	}
	d.best[i] = s
}

// tableBuilder ranks the VMs of a region, one bucket at a time. It reuses its
// buffers between buckets.
type tableBuilder struct {
	hashes   []uint64
	domainOf []int // index in domains for each VM
	domains  []failureDomain
}

func newTableBuilder(vms []*apipb.Vm) *tableBuilder {
	b := &tableBuilder{}
	numbers := make(map[string]int)
	for _, vm := range vms {
		n, ok := numbers[vm.GetFailureDomain()]
		if !ok {
			n = len(numbers)
			numbers[vm.GetFailureDomain()] = n
		}
		b.hashes = append(b.hashes, xxhash.Sum64String(vm.GetName()))
		b.domainOf = append(b.domainOf, n)
	}
	b.domains = make([]failureDomain, len(numbers))
	return b
}

// rank returns up to MaxVMs VMs for the bucket. Each comes from one of the failure
// domains with the fewest VMs picked so far, and has the best score among them.
func (b *tableBuilder) rank(bucket int) candidates {
	clear(b.domains)
	for i, h := range b.hashes {
		b.domains[b.domainOf[i]].add(scoredVM{rendezvousScore(h, bucket), uint16(i)})
	}
	var out candidates
	for k := range min(MaxVMs, len(b.hashes)) {
		out[k] = b.pick()
	}
	return out
}

// pick returns the best remaining VM of the domains with the fewest picks.
func (b *tableBuilder) pick() uint16 {
	var best *failureDomain
	for i := range b.domains {
		d := &b.domains[i]
		if d.next < d.n && (best == nil || d.pickedBefore(best)) {
			best = d
		}
	}
	best.next++
	return best.best[best.next-1].vm
}

// pickedBefore reports whether d precedes other: it has fewer picks or, for equal
// picks, a better next VM.
func (d *failureDomain) pickedBefore(other *failureDomain) bool {
	if d.next != other.next {
		return d.next < other.next
	}
	return d.best[d.next].score > other.best[other.next].score
}
