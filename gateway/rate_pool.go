package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	// pooledVMs is the number of VMs in a region from which they share the rates of
	// customers through one of them. With fewer, each one's own share is large
	// enough; with more, a share is a fraction of a request a second, and a request
	// would find it used up though the customer is well within its rate.
	pooledVMs = 6
	// servingShare is the share of the VMs of a region that must serve before only those
	// keep rates. After a start of all, rates would move with each VM that begins to
	// serve; a start of a few is below it.
	servingShare = 0.75
	// keeperCandidates is how many VMs are asked for a token before the own share is used.
	keeperCandidates = 2
)

// ratePool tells which VMs of a region keep the rates of customers, for one list of
// VMs. What it found is kept, since a list may hold a thousand VMs of a region and
// each request asks. It is safe for concurrent use.
type ratePool struct {
	fleet []*apipb.Vm // the list that it was made from
	// serving are the VMs that share rates, nil if there are too few; running also
	// holds those that are starting.
	serving, running []*apipb.Vm

	mu         sync.Mutex
	now, later map[string][]*apipb.Vm // by customer
}

// newRatePool takes in a list of VMs. Those that are starting share rates only while
// they are many, as after a start of all.
func newRatePool(region string, fleet []*apipb.Vm) *ratePool {
	p := &ratePool{fleet: fleet, now: map[string][]*apipb.Vm{}, later: map[string][]*apipb.Vm{}}
	for _, vm := range fleet {
		if vm.Region != region || vm.RpcAddress == "" {
			continue
		}
		switch vm.State {
		case apipb.VmState_VM_STATE_SERVING:
			p.serving, p.running = append(p.serving, vm), append(p.running, vm)
		case apipb.VmState_VM_STATE_STARTING:
			p.running = append(p.running, vm)
		}
	}
	if len(p.running) < pooledVMs {
		p.running = nil
	}
	if len(p.serving) < pooledVMs || float64(len(p.serving)) < servingShare*float64(len(p.running)) {
		p.serving = p.running
	}
	return p
}

// of reports whether the pool was made from this list. Lists are not changed, and
// the pool's own keeps its place in memory.
func (p *ratePool) of(fleet []*apipb.Vm) bool {
	return len(fleet) == len(p.fleet) && (len(fleet) == 0 || &fleet[0] == &p.fleet[0])
}

// empty reports whether no VM is known.
func (p *ratePool) empty() bool { return len(p.fleet) == 0 }

// keepers returns the VMs that keep a customer's rate, the first choice first.
func (p *ratePool) keepers(customer string) []*apipb.Vm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return remembered(p.now, customer, p.serving)
}

// asks reports whether a VM asks for a share of the customer's rate: if it keeps the
// rate, or will do so once the VMs that are starting serve. Where rates are not
// pooled, every VM does.
func (p *ratePool) asks(self, customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, later := remembered(p.now, customer, p.serving), remembered(p.later, customer, p.running)
	return len(now) == 0 || now[0].Name == self || len(later) > 0 && later[0].Name == self
}

func remembered(known map[string][]*apipb.Vm, customer string, vms []*apipb.Vm) []*apipb.Vm {
	keepers, found := known[customer]
	if !found {
		keepers = keepersOf(customer, vms)
		known[customer] = keepers
	}
	return keepers
}

// keepersOf returns the VMs with the highest scores for a customer, the first choice
// first. All VMs of the region come to the same result.
func keepersOf(customer string, vms []*apipb.Vm) []*apipb.Vm {
	var keepers []*apipb.Vm
	var scores []uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(customer + "/" + vm.Name)
		at := len(scores)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == keeperCandidates {
			continue
		}
		keepers = append(keepers[:at:at], append([]*apipb.Vm{vm}, keepers[at:]...)...)
		scores = append(scores[:at:at], append([]uint64{score}, scores[at:]...)...)
		n := min(len(keepers), keeperCandidates)
		keepers, scores = keepers[:n], scores[:n]
	}
	return keepers
}
