package inventory

import "net/netip"

// VM is an entry in the platform's list of VMs.
type VM struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	State         State          `json:"state"`
}

// Validate returns an error for the first field that is missing or malformed.
func (v VM) Validate() error {
	return validate(commonFields{"name", v.Name, v.Address, v.Region, v.FailureDomain, v.State})
}

func (v VM) key() string { return v.Name }
