package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against split votes that cost a whole election timeout each. All members
// crash and only a bare majority restarts, so every vote is needed. Ticks of 50 ms
// and message delays of up to 60 ms correspond to control daemons in three regions.
func TestElectionTimeAfterFullRestart(t *testing.T) {
	const (
		runs = 300
		// maxElectionTicks is the time, 1.7 s, after which the next owner of grants
		// must answer.
		maxElectionTicks = 34
		// maxLateRuns is the number of runs that may take longer. Several split votes in
		// a row are possible, but must not occur in more than one restart in fifty.
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
	t.Logf("election took %.1f ticks on average, %d at most; %d of %d runs took over %d", float64(sum)/runs, worst, late, runs, maxElectionTicks)
	is.True(late <= maxLateRuns)
}
