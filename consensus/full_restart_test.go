package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against split votes that cost a whole election timeout each, when so many
// members are lost in a restart of all that every remaining one must agree. Ticks of
// 50 ms and messages of up to 60 ms are those of control daemons in three regions.
func TestElectionTimeAfterFullRestart(t *testing.T) {
	const (
		runs = 300
		// maxElectionTicks is when the next owner of grants has to answer, 1.7 s.
		maxElectionTicks = 34
		// maxLateRuns is how many runs may take longer: several split votes in a row are
		// possible, but shall be rarer than one restart in fifty.
		maxLateRuns = runs / 50
	)
	is := is.New(t)
	late, sum, worst := 0, 0, 0
	for seed := range uint64(runs) {
		s := newSim(t, seed, 5)
		s.cfg.ElectionTicks, s.maxDelay = 12, tickUnits*6/5
		s.waitForLeader()
		for _, id := range s.order {
			s.crash(s.members[id])
		}
		s.run(20)
		for _, id := range s.order[:3] {
			s.start(s.members[id])
		}
		ticks := 0
		for l := s.leader(); l == nil || !l.node.termCommitted(); l = s.leader() {
			s.run(1)
			ticks++
		}
		sum, worst = sum+ticks, max(worst, ticks)
		if ticks > maxElectionTicks {
			late++
		}
	}
	t.Logf("%.1f ticks on average, %d at most, %d of %d runs over %d", float64(sum)/runs, worst, late, runs, maxElectionTicks)
	is.True(late <= maxLateRuns)
}
