package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
)

// Guards against a VM that starts and waits for a poll although its renewal has confirmed the plan, and against one that
// takes a plan for confirmed of which the leader has a newer one, or by a renewal from before a pause.
func TestRenewalConfirmsThePlanInForceAtTheLeader(t *testing.T) {
	is := is.New(t)
	c := &clock.Manual{}
	known := newKnowledge(continuity.New(c, nil), c, 2*time.Second)
	current := 0
	s := &planSyncer{
		loop: pollLoop{log: discardLog(), knowledge: known}, clock: c, knowledge: known, onCurrent: func() { current++ },
	}
	s.confirmRevision(0, c.Now())
	is.True(!known.viewIsCurrent()) // neither has a plan
	s.current.Store(&PlanView{Revision: 5})
	s.confirmRevision(6, c.Now())
	is.True(!known.viewIsCurrent())
	s.confirmRevision(5, c.Now())
	is.True(known.viewIsCurrent())
	s.confirmRevision(5, c.Now())
	is.Equal(current, 1)
	before := c.Now()
	c.Advance(7 * time.Second)
	s.confirmRevision(5, before)
	is.True(!known.viewIsCurrent())
	s.confirmRevision(5, c.Now())
	is.True(known.viewIsCurrent())
	is.Equal(current, 2)
}
