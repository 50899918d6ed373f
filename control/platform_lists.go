package control

import "pistachiomount.example/pistachiomount/platform"

// PlatformLists gives the platform's current lists for an environment. A list
// that was not fetched yet is empty.
type PlatformLists interface {
	Upstreams() []platform.Upstream
	VMs() []platform.VM
}
