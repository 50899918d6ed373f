package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

func newVMs(n int) []*apipb.Vm {
	var vms []*apipb.Vm
	for i := range n {
		vms = append(vms, &apipb.Vm{Name: fmt.Sprint("vm", i)})
	}
	return vms
}

// Guards against VMs that disagree on the owner of a customer's rate, which would split the rate, and
// against all rates moving when one VM leaves.
func TestVMsAgreeOnTheOwnerOfARate(t *testing.T) {
	is := is.New(t)
	vms := newVMs(20)
	reversed := newVMs(20)
	for i, vm := range vms {
		reversed[len(vms)-1-i] = vm
	}
	owned := map[string]int{}
	moved := 0
	for i := range 200 {
		customer := fmt.Sprint("customer", i)
		owners := rankOwners(customer, vms)
		is.Equal(owners[0].Name, rankOwners(customer, reversed)[0].Name)
		is.True(owners[0].Name != owners[1].Name)
		owned[owners[0].Name]++
		without := rankOwners(customer, vms[1:])
		if owners[0].Name == vms[0].Name {
			is.Equal(without[0].Name, owners[1].Name) // the second owner takes over
		} else if without[0].Name != owners[0].Name {
			moved++
		}
	}
	is.Equal(moved, 0)
	for _, n := range owned {
		is.True(n < 30) // 10 on average
	}
	is.Equal(len(rankOwners("c", nil)), 0)
}

func withState(vms []*apipb.Vm, state apipb.VmState) []*apipb.Vm {
	for _, vm := range vms {
		vm.Region, vm.RpcAddress, vm.State = "r", "a", state
	}
	return vms
}

// Guards against every VM holding a share of every rate after all VMs start together: they know each
// other before any of them serves.
func TestOneVMOwnsARateAlsoWhileAllStart(t *testing.T) {
	is := is.New(t)
	vms := withState(newVMs(20), apipb.VmState_VM_STATE_STARTING)
	for _, serving := range []int{0, 3, 10, 17, 20} {
		for _, vm := range vms[:serving] {
			vm.State = apipb.VmState_VM_STATE_SERVING
		}
		early := 0
		for i := range 50 {
			customer := fmt.Sprint("customer", i)
			holders := 0
			pool := newRatePool("r", vms)
			for _, vm := range vms {
				if pool.needsShare(vm.Name, customer) {
					holders++
				}
			}
			is.True(holders >= 1 && holders <= 2)
			early += holders - 1
			is.True(pool.needsShare(pool.rateOwners(customer)[0].Name, customer))
		}
		is.Equal(early > 0, serving == 17) // future owners request shares before they serve
	}
}

// Guards against pooling rates in a region with few VMs, or at VMs that are leaving.
func TestFewVMsUseTheirOwnShares(t *testing.T) {
	is := is.New(t)
	few := withState(newVMs(minPooledVMs-1), apipb.VmState_VM_STATE_SERVING)
	is.Equal(len(newRatePool("r", few).rateOwners("customer")), 0)
	is.True(newRatePool("r", few).needsShare("vm0", "customer"))
	leaving := newRatePool("r", withState(newVMs(20), apipb.VmState_VM_STATE_LEAVING))
	is.Equal(len(leaving.rateOwners("customer")), 0)
}

// Guards against cached owners from an outdated list of VMs.
func TestOwnersFollowTheList(t *testing.T) {
	is := is.New(t)
	vms := withState(newVMs(20), apipb.VmState_VM_STATE_SERVING)
	pool := newRatePool("r", vms)
	is.True(pool.builtFrom(vms))
	is.True(!pool.builtFrom(vms[1:]))
	is.True(!pool.builtFrom(append([]*apipb.Vm(nil), vms...)))
	first := pool.rateOwners("customer")[0]
	first.State = apipb.VmState_VM_STATE_LEAVING
	is.True(newRatePool("r", vms).rateOwners("customer")[0] != first)
}

// Guards against rates that change their owner with each VM that begins to serve after a restart of
// all: a new owner holds no share yet and rejects requests until its next renewal.
func TestOwnersStayWhileAllVMsStart(t *testing.T) {
	is := is.New(t)
	vms := withState(newVMs(20), apipb.VmState_VM_STATE_STARTING)
	started := newRatePool("r", vms)
	moved := 0
	for _, vm := range vms[:14] {
		vm.State = apipb.VmState_VM_STATE_SERVING
		pool := newRatePool("r", vms)
		for i := range 50 {
			customer := fmt.Sprint("customer", i)
			if pool.rateOwners(customer)[0].Name != started.rateOwners(customer)[0].Name {
				moved++
			}
		}
	}
	is.Equal(moved, 0)
}
