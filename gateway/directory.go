package gateway

import (
	"context"

	"pistachiomount.example/pistachiomount/apipb"
)

// minDomainVMs is how many VMs in the caller's failure domain are enough to return no others. With
// fewer, callers of a failing VM might have no alternative.
const minDomainVMs = 2

// Directory returns the addresses of the entry VMs that a caller should use: those of its failure
// domain, else of its region, else all. After a pause it waits for the leader's list, which has lost VMs meanwhile.
func (g *Gateway) Directory(ctx context.Context, region, failureDomain string) []string {
	g.knowledge.AwaitLists(ctx)
	var domain, regional, all []string
	for _, vm := range g.servingVMs() {
		all = append(all, vm.Address)
		if vm.Region == region {
			regional = append(regional, vm.Address)
		}
		if vm.FailureDomain == failureDomain {
			domain = append(domain, vm.Address)
		}
	}
	chosen := all
	switch {
	case len(domain) >= minDomainVMs:
		chosen = domain
	case len(regional) > 0:
		chosen = regional
	}
	return chosen[:min(len(chosen), maxDirectoryAddresses)]
}

// servingVMs returns the VMs that accept callers, according to the leader's last list. For this VM,
// its own state takes precedence.
func (g *Gateway) servingVMs() []*apipb.Vm {
	var vms []*apipb.Vm
	selfListed := false
	for _, vm := range g.follower.Fleet() {
		if vm.Name == g.cfg.VM {
			selfListed = true
			if !g.Ready() {
				continue
			}
		}
		if vm.State == apipb.VmState_VM_STATE_SERVING {
			vms = append(vms, vm)
		}
	}
	if !selfListed && g.Ready() {
		vms = append(vms, &apipb.Vm{
			Name: g.cfg.VM, Address: g.cfg.Address, Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain,
		})
	}
	return vms
}
