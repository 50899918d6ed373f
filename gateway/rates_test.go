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
