package control

import "pistachiomount.example/pistachiomount/inventory"

// PlatformLists returns the platform's current lists for an environment. A list that
// was not fetched yet is empty.
type PlatformLists interface {
	Upstreams() []inventory.Upstream
	VMs() []inventory.VM
}
