package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

func regionOf(n int) []*apipb.Vm {
	var vms []*apipb.Vm
	for i := range n {
		vms = append(vms, &apipb.Vm{Name: fmt.Sprint("vm", i)})
	}
	return vms
}

// Guards against VMs that keep one customer's rate at different places, which would
// split it again, and against rates that all move when one VM leaves.
func TestVMsAgreeOnWhoKeepsARate(t *testing.T) {
	is := is.New(t)
	vms := regionOf(20)
	reversed := regionOf(20)
	for i, vm := range vms {
		reversed[len(vms)-1-i] = vm
	}
	kept := map[string]int{}
	moved := 0
	for i := range 200 {
		customer := fmt.Sprint("customer", i)
		keepers := keepersOf(customer, vms)
		is.Equal(keepers[0].Name, keepersOf(customer, reversed)[0].Name)
		is.True(keepers[0].Name != keepers[1].Name)
		kept[keepers[0].Name]++
		without := keepersOf(customer, vms[1:])
		if keepers[0].Name == vms[0].Name {
			is.Equal(without[0].Name, keepers[1].Name) // the next one takes over
		} else if without[0].Name != keepers[0].Name {
			moved++
		}
	}
	is.Equal(moved, 0)
	for _, n := range kept {
		is.True(n < 30) // 10 on average
	}
	is.Equal(len(keepersOf("c", nil)), 0)
}

func withState(vms []*apipb.Vm, state apipb.VmState) []*apipb.Vm {
	for _, vm := range vms {
		vm.Region, vm.RpcAddress, vm.State = "r", "a", state
	}
	return vms
}

// Guards against a start of all VMs after which each one holds a share of every rate:
// they know each other before any of them serves.
func TestOneVMKeepsARateAlsoWhileAllStart(t *testing.T) {
	is := is.New(t)
	vms := withState(regionOf(20), apipb.VmState_VM_STATE_STARTING)
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
				if pool.asks(vm.Name, customer) {
					holders++
				}
			}
			is.True(holders >= 1 && holders <= 2)
			early += holders - 1
			is.True(pool.asks(pool.keepers(customer)[0].Name, customer))
		}
		is.Equal(early > 0, serving == 17) // those that will keep a rate ask before they serve
	}
}

// Guards against rates that are pooled in a region with few VMs, or by VMs that leave.
func TestFewVMsKeepTheirOwnShares(t *testing.T) {
	is := is.New(t)
	few := withState(regionOf(pooledVMs-1), apipb.VmState_VM_STATE_SERVING)
	is.Equal(len(newRatePool("r", few).keepers("customer")), 0)
	is.True(newRatePool("r", few).asks("vm0", "customer"))
	leaving := newRatePool("r", withState(regionOf(20), apipb.VmState_VM_STATE_LEAVING))
	is.Equal(len(leaving.keepers("customer")), 0)
}

// Guards against keepers that are remembered for a list of VMs that has changed.
func TestKeepersFollowTheList(t *testing.T) {
	is := is.New(t)
	vms := withState(regionOf(20), apipb.VmState_VM_STATE_SERVING)
	pool := newRatePool("r", vms)
	is.True(pool.of(vms))
	is.True(!pool.of(vms[1:]))
	is.True(!pool.of(append([]*apipb.Vm(nil), vms...)))
	first := pool.keepers("customer")[0]
	first.State = apipb.VmState_VM_STATE_LEAVING
	is.True(newRatePool("r", vms).keepers("customer")[0] != first)
}

// Guards against rates that change their VM with each one that begins to serve after a
// start of all: a VM that takes over holds no share yet, and refuses for its next renewal.
func TestKeepersStayWhileAllVMsStart(t *testing.T) {
	is := is.New(t)
	vms := withState(regionOf(20), apipb.VmState_VM_STATE_STARTING)
	started := newRatePool("r", vms)
	moved := 0
	for _, vm := range vms[:14] {
		vm.State = apipb.VmState_VM_STATE_SERVING
		pool := newRatePool("r", vms)
		for i := range 50 {
			customer := fmt.Sprint("customer", i)
			if pool.keepers(customer)[0].Name != started.keepers(customer)[0].Name {
				moved++
			}
		}
	}
	is.Equal(moved, 0)
}
