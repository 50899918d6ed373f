package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against all VMs reading the list of upstreams by themselves when the leader is lost or all
// VMs restart, and against a VM that keeps using a list which a working leader does not refresh.
func TestListIsReadByOneUnlessItsReaderFails(t *testing.T) {
	for _, c := range []struct {
		age, connected time.Duration
		own            bool
	}{
		{age: time.Second, connected: time.Minute},
		{age: 4 * time.Second, connected: time.Minute, own: true}, // the leader cannot read the list
		{age: 10 * time.Second},                                   // an election, or a start of all VMs
		{age: 10 * time.Second, connected: time.Second},           // a new leader that reads the list first
		{age: 21 * time.Second, own: true},                        // cut off from all leaders
	} {
		is := is.New(t)
		is.Equal(needsOwnList(c.age, c.connected), c.own)
	}
}

// Guards against reads of all VMs together that exceed the platform's rate, or that cost more than
// one reader would while there is no leader.
func TestOwnReadsOfAllVMsAreRateLimited(t *testing.T) {
	is := is.New(t)
	const vms, callsPerRead, maxRate = 281, 10, 2300.0
	for _, connected := range []bool{true, false} {
		interval := ownListInterval(vms*callsPerRead, maxRate, connected)
		together := vms * callsPerRead / interval.Seconds()
		is.True(together < maxRate*(listRateShare+0.001))
		if !connected {
			is.True(together < disconnectedListRate+0.001)
		}
	}
	is.Equal(ownListInterval(10, 0, true), listInterval)
}
