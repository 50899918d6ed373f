package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

// mustTermState returns the state of an environment whose holders are not read.
func mustTermState(t *testing.T, o *ownership, env apipb.Environment, l *leadership) *termState {
	t.Helper()
	state, err := o.termStateFor(t.Context(), nil, env, l)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// bytesPerLeadership returns the bytes that are allocated to find out whether a daemon may answer a
// renewal.
func bytesPerLeadership(is *is.I, b *simCluster, e *Engine, vm string) uint64 {
	const calls = 1000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		l, err := e.leadership(b.ctx, apipb.Environment_ENVIRONMENT_PLAN, vm)
		is.NoErr(err)
		is.True(l.valid && l.holder == 1)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / calls
}

// Guards against the cost of one renewal that grows with the number of VMs, because all holders are
// copied for it on the loop of consensus.
func TestCostOfARenewalDoesNotGrowWithHolders(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		is := is.New(b.t)
		e := b.leader().engine()
		bytes := map[int]uint64{}
		registered := 0
		for _, holders := range []int{30, 3200} {
			for ; registered < holders; registered++ {
				is.NoErr(e.setHolder(b.ctx, fmt.Sprintf("entry-%d", registered), 1, true))
			}
			bytes[holders] = bytesPerLeadership(is, b, e, "entry-7")
		}
		b.t.Logf("bytes allocated for a renewal by number of holders: %v", bytes)
		is.True(bytes[3200] <= 2*bytes[30])
	})
}
