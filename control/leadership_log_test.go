package control

import (
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"pistachiomount.example/pistachiomount/consensus"
)

// Guards against elections that are not logged, and against a log line for each tick
// without a change.
func TestChangesOfLeaderAreLogged(t *testing.T) {
	is := is.New(t)
	log, hook := test.NewNullLogger()
	var l leadershipLog
	l.observe(consensus.Status{Role: consensus.RoleFollower, Term: 4, LastIndex: 9}, log)
	l.observe(consensus.Status{Role: consensus.RoleFollower, Term: 4, LastIndex: 9}, log)
	l.observe(consensus.Status{Role: consensus.RoleFollower, Term: 5, Leader: 7, LastIndex: 10}, log)
	l.observe(consensus.Status{Role: consensus.RoleFollower, Term: 5, Leader: 7, LastIndex: 11}, log)
	l.observe(consensus.Status{Role: consensus.RoleLeader, Term: 6, Leader: 3, LastIndex: 12}, log)
	is.Equal(len(hook.Entries), 3)
	is.Equal(hook.Entries[0].Message, "no leader known")
	is.Equal(hook.Entries[1].Data["leader"], uint64(7))
	is.Equal(hook.Entries[2].Data["role"], consensus.RoleLeader)
}
