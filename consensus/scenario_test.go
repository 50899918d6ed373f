package consensus

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

// testSeed makes the scenarios repeatable. They must pass with any seed.
const testSeed = 42

// newGroup returns a group of three with a leader that holds its lease.
func newGroup(t *testing.T) (*is.I, *sim, *simMember) {
	t.Helper()
	s := newSim(t, testSeed, 3)
	l := s.waitForLeader()
	s.run(5)
	return is.New(t), s, l
}

func isolate(s *sim, ids ...uint64) {
	s.blocked = func(from, to uint64) bool {
		for _, id := range ids {
			if (from == id) != (to == id) {
				return true
			}
		}
		return false
	}
}

func unblock(s *sim) { s.blocked = func(uint64, uint64) bool { return false } }

func follower(s *sim, l *simMember) *simMember {
	for _, id := range s.order {
		if id != l.id && isVoter(l.node.members.current(), id) {
			return s.members[id]
		}
	}
	return nil
}

const (
	addType     = apipb.MemberChangeType_MEMBER_CHANGE_TYPE_ADD_LEARNER
	promoteType = apipb.MemberChangeType_MEMBER_CHANGE_TYPE_PROMOTE
	removeType  = apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REMOVE
	replaceType = apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE
)

func memberChange(t apipb.MemberChangeType, id, replaces uint64) *apipb.MemberChange {
	return &apipb.MemberChange{Type: t, Member: &apipb.Member{Id: id}, ReplacesId: replaces}
}

// Guards against a member that raises the term or deposes the leader when it returns
// from a long partition.
func TestRejoiningMemberKeepsLeaderAndTerm(t *testing.T) {
	is, s, l := newGroup(t)
	term, f := l.node.term, follower(s, l)
	isolate(s, f.id)
	for range 50 {
		_ = s.propose(l)
		s.run(10)
	}
	unblock(s)
	s.run(100)
	is.Equal(s.leader(), l)
	is.Equal(l.node.term, term)
	is.Equal(f.node.term, term)
	is.Equal(f.digest, l.digest)
}

// Guards against an isolated leader that does not step down.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is, s, l := newGroup(t)
	is.True(l.node.Status().LeaseValid)
	isolate(s, l.id)
	s.read(l)
	s.run(int(l.node.cfg.leaseTicks()) + 2)
	is.Equal(len(l.answeredReads), 0) // no quorum confirmed the read
	is.True(!l.node.Status().LeaseValid)
	s.run(s.cfg.ElectionTicks)
	is.True(l.node.role() != RoleLeader)
	is.True(s.waitForLeader() != l)
}

// Guards against a vote that violates a leader's lease: after the member entered the
// candidate's term without voting, and right after a restart.
func TestVoteWaitsForTheLeadersLease(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	vote := &apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_VOTE, From: 6 - l.id - f.id, To: f.id, Term: l.node.term + 1,
		Index: l.node.log.lastIndex() + 9, LogTerm: l.node.term,
	}
	term := l.node.term
	f.node.becomeFollower(term+1, 0)
	is.NoErr(f.node.Step(vote))
	is.Equal(f.node.votedFor, uint64(0))
	s.start(f)
	vote.Term = term + 2
	is.NoErr(f.node.Step(vote))
	is.True(f.node.votedFor != vote.From)
	f.node.now += uint64(s.cfg.ElectionTicks)
	is.NoErr(f.node.Step(vote))
	is.Equal(f.node.votedFor, vote.From)
}

// Guards against a stale read at a new leader whose commit index may be lower than
// that of an earlier leader.
func TestReadWaitsForCommitOfOwnTerm(t *testing.T) {
	is := is.New(t)
	s := newSim(t, testSeed, 3)
	old := s.waitForLeader()
	s.run(5)
	s.crash(old)
	dropAppends := true
	s.onSend = func(m *apipb.ConsensusMessage) {
		if dropAppends && m.GetType() == apipb.MessageType_MESSAGE_TYPE_APPEND {
			m.To = 99
		}
	}
	for range 100 {
		if s.leader() == nil {
			s.run(1)
		}
	}
	l := s.leader()
	is.True(l != nil && !l.node.termCommitted())
	s.read(l)
	s.run(5)
	is.Equal(len(l.answeredReads), 0)
	is.Equal(l.node.role(), RoleLeader)
	dropAppends = false
	s.run(20)
	is.Equal(len(l.answeredReads), 1)
	is.True(l.answeredReads[0].Index >= l.node.termStart)
}

// Guards against reads at a follower that are served without a leader's confirmation.
func TestFollowerReads(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	s.run(3)
	is.NoErr(s.propose(l))
	s.run(1)
	s.read(f)
	s.run(2)
	is.Equal(len(f.answeredReads), 1)
	isolate(s, f.id)
	s.read(f)
	s.run(50)
	is.Equal(len(f.answeredReads), 1)
	is.True(errors.Is(f.node.ReadIndex(9), ErrNotLeader))
}

// Guards against a group that cannot commit after a second member loss right after
// the first was repaired: the replaced voter must not remain in the quorum.
func TestReplacedVoterLeavesQuorum(t *testing.T) {
	is, s, l := newGroup(t)
	lost := follower(s, l)
	s.crash(lost)
	(&faultInjector{s}).addLearner(l, 4)
	s.run(30)
	is.NoErr(s.proposeMemberChange(l, memberChange(replaceType, 4, lost.id)))
	s.run(5)
	is.Equal(len(voterIDs(l.node.members.current())), 3)
	is.True(isVoter(l.node.members.current(), 4))
	is.True(findMember(l.node.members.current(), lost.id) == nil)
	s.crash(l)
	next := s.waitForLeader()
	is.NoErr(s.propose(next))
	commit := next.node.log.committed
	s.run(5)
	is.True(next.node.log.committed > commit)
}

// Guards against an election or a commit by a majority of only one of the two
// voter sets of a replacement.
func TestReplacementNeedsBothQuorums(t *testing.T) {
	is := is.New(t)
	set, err := addLearner(stateWithTerms(t, 0, 2).Snapshot.Meta.Members, &apipb.Member{Id: 4})
	is.NoErr(err)
	joint, err := applyChange(set, memberChange(replaceType, 4, 3))
	is.NoErr(err)
	for _, c := range []struct {
		votes map[uint64]bool
		won   bool
	}{
		{map[uint64]bool{1: true, 4: true}, false},
		{map[uint64]bool{1: true, 3: true}, false},
		{map[uint64]bool{1: true, 2: true}, true},
		{map[uint64]bool{1: true, 3: true, 4: true}, true},
	} {
		won, _ := voteOutcome(joint, c.votes)
		is.Equal(won, c.won)
		held := func(id uint64) uint64 { return 5 * boolToUint(c.votes[id]) }
		is.Equal(quorumValue(joint, held) == 5, c.won)
	}
}

// Guards against the promotion of a member that lacks the log, and against
// overlapping changes.
func TestMemberChangesAreChecked(t *testing.T) {
	is, s, l := newGroup(t)
	isolate(s, 4)
	(&faultInjector{s}).addLearner(l, 4)
	promote := memberChange(promoteType, 4, 0)
	is.True(errors.Is(s.proposeMemberChange(l, promote), ErrChangePending))
	s.run(20)
	is.True(errors.Is(s.proposeMemberChange(l, promote), ErrNotCaughtUp))
	is.True(errors.Is(s.proposeMemberChange(l, memberChange(replaceType, 4, follower(s, l).id)), ErrNotCaughtUp))
	is.True(errors.Is(s.proposeMemberChange(l, memberChange(replaceType, 4, 4)), ErrInvalidMemberChange))
	is.True(errors.Is(s.proposeMemberChange(l, memberChange(removeType, l.id, 0)), ErrInvalidMemberChange))
	unblock(s)
	s.run(20)
	is.NoErr(s.proposeMemberChange(l, promote))
	s.run(5)
	is.Equal(s.members[4].node.role(), RoleFollower)
	is.NoErr(s.proposeMemberChange(l, memberChange(removeType, 4, 0)))
	s.run(100)
	is.Equal(s.leader(), l)
	is.Equal(findMember(l.node.members.current(), 4), (*apipb.Member)(nil))
}

// Guards against messages from a removed or never added member that depose the
// leader or raise the term.
func TestUnknownMemberIsIgnored(t *testing.T) {
	is, s, l := newGroup(t)
	term := l.node.term
	for ty := range apipb.MessageType_name {
		for _, id := range s.order {
			err := s.members[id].node.Step(&apipb.ConsensusMessage{
				Type: apipb.MessageType(ty), From: 77, To: id, Term: term + 50, Index: 1 << 40, LogTerm: 1 << 40,
				Reject: ty%2 == 0, Snapshot: &apipb.Snapshot{Meta: &apipb.SnapshotMeta{Index: 1 << 40}},
			})
			is.True(err == nil || errors.Is(err, ErrInvalidMessage))
			s.processReady(s.members[id])
		}
	}
	s.run(50)
	is.Equal(s.leader(), l)
	is.Equal(l.node.term, term)
	is.True(errors.Is(l.node.Step(&apipb.ConsensusMessage{From: 77, To: 78}), ErrInvalidMessage))
}

// Guards against a transfer that leads to two valid leases or permanently to none.
func TestLeadershipTransfer(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	is.NoErr(l.node.TransferLeadership(f.id))
	is.True(!l.node.Status().LeaseValid)
	is.True(errors.Is(l.node.Propose(nil), ErrTransferInProgress))
	s.processReady(l)
	s.run(3) // well within the election timeout
	is.Equal(s.leader(), f)

	term := f.node.term
	is.True(errors.Is(f.node.TransferLeadership(f.id), ErrTransferTarget))
	s.crash(l)
	is.NoErr(f.node.TransferLeadership(l.id))
	s.processReady(f)
	s.run(2 * s.cfg.ElectionTicks)
	is.Equal(s.leader(), f)
	is.True(f.node.Status().LeaseValid)
	if f.node.timeoutNowSent {
		is.True(f.node.term > term)
	}
}

// Guards against a proposal that a follower accepts; its error names the leader.
func TestProposeOnFollowerNamesLeader(t *testing.T) {
	is, s, l := newGroup(t)
	var nl *NotLeaderError
	is.True(errors.As(s.propose(follower(s, l)), &nl))
	is.Equal(nl.Leader, l.id)
	is.True(errors.Is(nl, ErrNotLeader))
}

// Guards against a single voter that waits for replies of other members.
func TestSingleVoter(t *testing.T) {
	is := is.New(t)
	s := newSim(t, testSeed, 1)
	m := s.members[1]
	m.node.CampaignNow()
	s.processReady(m)
	is.NoErr(s.propose(m))
	is.Equal(m.node.log.applied, uint64(3)) // member set, no-op entry of the term, command
	s.read(m)
	is.Equal(len(m.answeredReads), 1)
	is.True(m.node.Status().LeaseValid)
	s.start(m)
	s.run(2)
	is.Equal(m.node.role(), RoleLeader)
	is.Equal(m.node.log.applied, uint64(4))
}
