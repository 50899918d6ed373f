package inventory

// State tells whether the platform is about to remove a VM or an upstream.
type State string

// States of VMs and upstreams.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

func (s State) valid() bool {
	return s == Live || s == Leaving
}
