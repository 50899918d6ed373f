package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	// minPooledVMs is the number of VMs in a region from which they share the rates of
	// customers through one of them. With fewer, each one's own share is large
	// enough; with more, a share is a fraction of a request a second, and a request
	// would find it used up though the customer is well within its rate.
	minPooledVMs = 6
	// minServingShare is the share of the VMs of a region that must serve before only those
	// keep rates. After a start of all, rates would move with each VM that begins to
	// serve; a start of a few is below it.
	minServingShare = 0.75
	// maxRateOwners is how many VMs are asked for a token before the own share is used.
	maxRateOwners = 2
)

// ratePool tells which VMs of a region keep the rates of customers, for one list of
// VMs. What it found is kept, since a list may hold a thousand VMs of a region and
// each request asks. It is safe for concurrent use.
type ratePool struct {
	fleet []*apipb.Vm // the list that it was made from
	// serving are the VMs that share rates, nil if there are too few; active also
	// holds those that are starting.
	serving, active []*apipb.Vm

	mu                   sync.Mutex
	owners, futureOwners map[string][]*apipb.Vm // by customer
}

// newRatePool takes in a list of VMs. Those that are starting share rates only while
// they are many, as after a start of all.
func newRatePool(region string, fleet []*apipb.Vm) *ratePool {
	p := &ratePool{fleet: fleet, owners: map[string][]*apipb.Vm{}, futureOwners: map[string][]*apipb.Vm{}}
	for _, vm := range fleet {
		if vm.Region != region || vm.RpcAddress == "" {
			continue
		}
		switch vm.State {
		case apipb.VmState_VM_STATE_SERVING:
			p.serving, p.active = append(p.serving, vm), append(p.active, vm)
		case apipb.VmState_VM_STATE_STARTING:
			p.active = append(p.active, vm)
		}
	}
	if len(p.active) < minPooledVMs {
		p.active = nil
	}
	if len(p.serving) < minPooledVMs || float64(len(p.serving)) < minServingShare*float64(len(p.active)) {
		p.serving = p.active
	}
	return p
}

// builtFrom reports whether the pool was made from this list. Lists are not changed, and
// the pool's own keeps its place in memory.
func (p *ratePool) builtFrom(fleet []*apipb.Vm) bool {
	return len(fleet) == len(p.fleet) && (len(fleet) == 0 || &fleet[0] == &p.fleet[0])
}

// empty reports whether no VM is known.
func (p *ratePool) empty() bool { return len(p.fleet) == 0 }

// rateOwners returns the VMs that keep a customer's rate, the first choice first.
func (p *ratePool) rateOwners(customer string) []*apipb.Vm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cachedOwners(p.owners, customer, p.serving)
}

// needsShare reports whether a VM needsShare for a share of the customer's rate: if it keeps the
// rate, or will do so once the VMs that are starting serve. Where rates are not
// pooled, every VM does.
func (p *ratePool) needsShare(self, customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, future := cachedOwners(p.owners, customer, p.serving), cachedOwners(p.futureOwners, customer, p.active)
	return len(current) == 0 || current[0].Name == self || len(future) > 0 && future[0].Name == self
}

func cachedOwners(cache map[string][]*apipb.Vm, customer string, vms []*apipb.Vm) []*apipb.Vm {
	owners, found := cache[customer]
	if !found {
		owners = rankOwners(customer, vms)
		cache[customer] = owners
	}
	return owners
}

// rankOwners returns the VMs with the highest scores for a customer, the first choice
// first. All VMs of the region come to the same result.
func rankOwners(customer string, vms []*apipb.Vm) []*apipb.Vm {
	var owners []*apipb.Vm
	var scores []uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(customer + "/" + vm.Name)
		at := len(scores)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == maxRateOwners {
			continue
		}
		owners = append(owners[:at:at], append([]*apipb.Vm{vm}, owners[at:]...)...)
		scores = append(scores[:at:at], append([]uint64{score}, scores[at:]...)...)
		n := min(len(owners), maxRateOwners)
		owners, scores = owners[:n], scores[:n]
	}
	return owners
}
