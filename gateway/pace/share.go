package pace

import "time"

// Share is the part of a paced upstream that one of several VMs may start with.
type Share struct {
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Start is the initial window of this VM, at least 1.
	Start float64
	// Floor is the smallest window, up to 1. It is below 1 if there are more VMs than slots: one request of
	// each VM is then overload already.
	Floor float64
	// Delay is when this VM sends its first request, after it is first considered.
	Delay time.Duration
	// Rest is how long this VM sends nothing after a timeout at a window of 1, if Floor is below 1. It
	// differs between VMs.
	Rest time.Duration
}
