package gateway

import (
	"pistachiomount.example/pistachiomount/apipb"
)

// minNearby is how many VMs of the caller's failure domain are enough to name no
// others; with fewer, callers of one that fails would have nowhere to go.
const minNearby = 2

// Directory returns the addresses of the entry VMs that a caller should use: those
// of its failure domain, else of its region, else all.
func (g *Gateway) Directory(region, failureDomain string) []string {
	var domain, near, all []string
	for _, vm := range g.serving() {
		all = append(all, vm.Address)
		if vm.Region == region {
			near = append(near, vm.Address)
		}
		if vm.FailureDomain == failureDomain {
			domain = append(domain, vm.Address)
		}
	}
	chosen := all
	switch {
	case len(domain) >= minNearby:
		chosen = domain
	case len(near) > 0:
		chosen = near
	}
	return chosen[:min(len(chosen), maxDirectory)]
}

// serving returns the VMs that take callers, as the leader last listed them. What
// this VM knows of itself comes first.
func (g *Gateway) serving() []*apipb.Vm {
	var vms []*apipb.Vm
	self := false
	for _, vm := range g.follower.Fleet() {
		if vm.Name == g.cfg.VM {
			self = true
			if !g.Ready() {
				continue
			}
		}
		if vm.State == apipb.VmState_VM_STATE_SERVING {
			vms = append(vms, vm)
		}
	}
	if !self && g.Ready() {
		vms = append(vms, &apipb.Vm{
			Name: g.cfg.VM, Address: g.cfg.Address, Region: g.cfg.Region, FailureDomain: g.cfg.FailureDomain,
		})
	}
	return vms
}
