package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	// minPooledVMs is the number of VMs in a region from which each customer's rate is held by one VM
	// for all. With fewer VMs, each one's own share is large enough. With more, a share is a fraction
	// of a request per second, and requests would find it used up although the customer is well within
	// its rate.
	minPooledVMs = 6
	// minServingShare is the share of the running VMs of a region that must serve before only serving
	// VMs own rates. When all VMs start together, rates would otherwise move with each VM that begins
	// to serve; when only a few start, the share of serving VMs stays above it.
	minServingShare = 0.75
	// minDividedShare is the requests per second that each VM would get of a rate from which on all VMs hold shares of
	// it. Most requests then need no call; the owner serves those that find the share of their VM used up.
	minDividedShare = 1.0
	// maxRateOwners is how many VMs are asked for a token before the VM's own share is used.
	maxRateOwners = 2
)

// ratePool determines which VMs of a region own the rates of customers, for one list of VMs. It caches
// the owners, since each request needs them and a region may have a thousand VMs. It is safe for
// concurrent use.
type ratePool struct {
	fleet []*apipb.Vm // the list it was built from
	// serving are the VMs that own rates, nil if there are too few; active also includes those that
	// are starting.
	serving, active []*apipb.Vm
	// elsewhere are the serving VMs of the other regions, by region.
	elsewhere map[string][]*apipb.Vm

	mu                   sync.Mutex
	owners, futureOwners map[string][]*apipb.Vm // by customer
	ownersElsewhere      map[string][]*apipb.Vm // by customer, the preferred one of each other region
}

// newRatePool builds a pool from a list of VMs. Starting VMs own rates only while they are many, as
// after a restart of all VMs.
func newRatePool(region string, fleet []*apipb.Vm) *ratePool {
	p := &ratePool{
		fleet: fleet, owners: map[string][]*apipb.Vm{}, futureOwners: map[string][]*apipb.Vm{},
		elsewhere: map[string][]*apipb.Vm{}, ownersElsewhere: map[string][]*apipb.Vm{},
	}
	for _, vm := range fleet {
		if vm.Region != region && vm.RpcAddress != "" && vm.State == apipb.VmState_VM_STATE_SERVING {
			p.elsewhere[vm.Region] = append(p.elsewhere[vm.Region], vm)
		}
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

// builtFrom reports whether the pool was built from this list. Lists are immutable, and the pool keeps
// its own list alive, so an equal address means the same list.
func (p *ratePool) builtFrom(fleet []*apipb.Vm) bool {
	return len(fleet) == len(p.fleet) && (len(fleet) == 0 || &fleet[0] == &p.fleet[0])
}

// dividesRate reports whether all VMs hold shares of a rate, in requests per second.
func (p *ratePool) dividesRate(rate float64) bool {
	return rate >= minDividedShare*float64(max(len(p.fleet), 1))
}

// empty reports whether no VM is known.
func (p *ratePool) empty() bool { return len(p.fleet) == 0 }

// rateOwners returns the VMs that own a customer's rate, the preferred one first.
func (p *ratePool) rateOwners(customer string) []*apipb.Vm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cachedOwners(p.owners, customer, p.serving)
}

// needsShare reports whether a VM requests a share of the customer's rate: if it owns the rate, or
// will own it once the starting VMs serve. Where rates are not pooled, every VM needs one.
func (p *ratePool) needsShare(self, customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, future := cachedOwners(p.owners, customer, p.serving), cachedOwners(p.futureOwners, customer, p.active)
	return len(current) == 0 || current[0].Name == self || len(future) > 0 && future[0].Name == self
}

// lenders returns VMs outside of the region that hold shares of a customer's rate: callers move between
// regions faster than shares do.
func (p *ratePool) lenders(customer string) []*apipb.Vm {
	p.mu.Lock()
	defer p.mu.Unlock()
	lenders, found := p.ownersElsewhere[customer]
	if found {
		return lenders
	}
	for _, vms := range p.elsewhere {
		lenders = append(lenders, rankOwners(customer, vms)[0])
	}
	p.ownersElsewhere[customer] = lenders
	return lenders
}

func cachedOwners(cache map[string][]*apipb.Vm, customer string, vms []*apipb.Vm) []*apipb.Vm {
	owners, found := cache[customer]
	if !found {
		owners = rankOwners(customer, vms)
		cache[customer] = owners
	}
	return owners
}

// rankOwners returns the VMs with the highest scores for a customer, best first (rendezvous hashing).
// All VMs of the region get the same result.
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
