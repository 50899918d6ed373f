package membership

import "pistachiomount.example/pistachiomount/apipb"

// PlatformVM is an entry in the platform's list of VMs.
type PlatformVM struct {
	Name    string
	Leaving bool
}

// stateRank orders the states of one incarnation. A VM only moves forward, so a
// heartbeat that arrives out of order does not restore an earlier state.
func stateRank(s apipb.VmState) int { return int(s) }

func validState(s apipb.VmState) bool {
	return s >= apipb.VmState_VM_STATE_STARTING && s <= apipb.VmState_VM_STATE_STOPPED
}
