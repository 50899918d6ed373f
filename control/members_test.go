package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/document"
)

// replaced reports whether the leader counts the new member as a voter and has removed
// the old one.
func replaced(leader, old, fresh *simNode) bool {
	status := leader.status()
	voter, known := false, false
	for _, m := range status.Members.GetMembers() {
		voter = voter || m.Id == fresh.member.Id && m.Voter
		known = known || m.Id == old.member.Id
	}
	return status.Role == consensus.RoleLeader && voter && !known && len(status.Members.OutgoingVoters) == 0
}

// Guards against a repair that leaves the group one loss away from stopping, or that
// counts a daemon whose disk was lost as if it still had its log.
func TestReplacedMemberToleratesSecondLoss(t *testing.T) {
	for _, loseLeader := range []bool{false, true} {
		simulate(t, 3, func(b *simCluster) {
			is := is.New(b.t)
			leader := b.leader()
			lost := b.others(leader)[0]
			leader.mustSubmit("trial", documentOf(1, 0))
			lost.crash()
			leader.mustSubmit("trial", documentOf(2, 0))
			fresh := b.replace(lost)
			b.join(fresh)
			b.eventually("the replacement", func() bool { return replaced(leader, lost, fresh) })
			leader.mustSubmit("trial", documentOf(3, 0))
			second := leader
			if !loseLeader {
				second = b.others(leader, lost, fresh)[0]
			}
			second.crash()
			next := b.leader(lost, second)
			is.Equal(currentDigest(next), document.Digest(documentOf(3, 0)))
			next.mustSubmit("trial", documentOf(4, 0))
			for _, n := range b.others(lost, second) {
				is.Equal(currentDigest(n), document.Digest(documentOf(4, 0)))
			}
		})
	}
}

// Guards against two running daemons with the same name, which would replace each other
// in the group.
func TestJoinRejectsNameOfRunningMember(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		for _, running := range []*simNode{b.leader(), b.others(b.leader())[0]} {
			second := b.replace(running)
			for range 10 {
				if b.requestJoin(second) {
					t.Fatalf("a second %s was accepted", running.name)
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// Guards against a join that is accepted while the group only removed the daemon's
// predecessor: the daemon would stop asking and never become a member.
func TestLearnerLostBeforePromotionIsReplaced(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		first := b.add()
		b.eventually("the first learner joined", func() bool { return b.requestJoin(first) }) // the node is never started
		fresh := b.replace(first)
		b.join(fresh)
		b.eventually("the second learner is a voter", func() bool { return replaced(b.leader(), first, fresh) })
	})
}

// Guards against a join that is accepted before it is committed: a change of leader drops
// the entry, and the daemon would wait forever.
func TestJoinIsConfirmedOnlyWhenCommitted(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		leader := b.leader()
		b.net.setIsolated(leader.name, true)
		fresh := b.add()
		for range 20 {
			reply, err := leader.engine().Join(b.ctx, fresh.member)
			if err != nil || reply.Accepted {
				t.Fatalf("unexpected answer of an isolated leader to a join: %v %v", reply, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.leader(leader)
		b.net.setIsolated(leader.name, false)
		b.join(fresh)
		b.eventually("the new daemon is a voter", func() bool { return replaced(b.leader(), b.add(), fresh) })
	})
}
