package lookup

import (
	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/apipb"
)

// scoredVM is a VM with its score for the present bucket.
type scoredVM struct {
	score uint64
	vm    uint16
}

// failureDomain holds the best VMs of one failure failureDomain, best first.
type failureDomain struct {
	best [MaxVMs]scoredVM
	n    int
	next int // position of the next one to pick
}

// add keeps s if it is among the best.
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

// tableBuilder ranks the VMs of a region for one bucket after the other.
type tableBuilder struct {
	hashes  []uint64
	domainOf []int // failure domain of each VM
	domains []failureDomain
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

// rank picks VMs by score, from failure domains that were picked least.
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

// pick takes the best VM of the domains that were picked least.
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

func (d *failureDomain) pickedBefore(other *failureDomain) bool {
	if d.next != other.next {
		return d.next < other.next
	}
	return d.best[d.next].score > other.best[other.next].score
}
