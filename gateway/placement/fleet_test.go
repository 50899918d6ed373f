package placement

import "fmt"

// vmsOf returns VMs of one region with the given names.
func vmsOf(region string, names []string) []VM {
	var vms []VM
	for _, name := range names {
		vms = append(vms, VM{Name: name, Region: region})
	}
	return vms
}

// numberedVMs returns n VMs of one region, of which the table's own VM is the last.
func numberedVMs(region string, n int) []VM {
	var vms []VM
	for i := range n - 1 {
		vms = append(vms, VM{Name: fmt.Sprint("peer-", i), Region: region})
	}
	return vms
}
