package consensus

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// interceptMessages collects the messages that match instead of delivering them, by
// sending them to a member that does not exist.
func interceptMessages(s *sim, match func(*apipb.ConsensusMessage) bool) *[]*apipb.ConsensusMessage {
	var held []*apipb.ConsensusMessage
	s.onSend = func(m *apipb.ConsensusMessage) {
		if match(m) {
			held = append(held, proto.Clone(m).(*apipb.ConsensusMessage))
			m.To = 99
		}
	}
	return &held
}

// deliverIntercepted delivers intercepted messages regardless of the network's state.
func (s *sim) deliverIntercepted(held []*apipb.ConsensusMessage) {
	for _, m := range held {
		to := s.members[m.GetTo()]
		if err := to.node.Step(m); err != nil {
			s.t.Fatalf("member %d: %v", to.id, err)
		}
		s.processReady(to)
	}
}

// Guards against a lease that counts from the arrival of a heartbeat reply instead
// of from the sending of the heartbeat.
func TestLeaseCountsFromHeartbeatSend(t *testing.T) {
	is, s, l := newGroup(t)
	held := interceptMessages(s, func(m *apipb.ConsensusMessage) bool {
		return m.GetType() == apipb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY
	})
	for l.node.Status().LeaseValid {
		s.run(1)
	}
	is.Equal(l.node.role(), RoleLeader)
	s.deliverIntercepted((*held)[:2]) // replies to a round that is as old as a whole lease
	is.True(l.node.Status().LeaseTicksLeft <= 1)
}

// Guards against a TIMEOUT_NOW that arrives after its transfer was aborted and
// elects a second leader while the first one holds its lease again.
func TestLateTimeoutNowStartsNoSecondLeader(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	held := interceptMessages(s, func(m *apipb.ConsensusMessage) bool {
		return m.GetType() == apipb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW
	})
	is.NoErr(l.node.TransferLeadership(f.id))
	s.processReady(l)
	s.run(s.cfg.ElectionTicks + 5)
	is.Equal(len(*held), 1)
	is.Equal(s.leader(), l)
	is.True(l.node.Status().LeaseValid)
	isolate(s, l.id)
	s.deliverIntercepted(*held)
	s.run(2) // checkInvariants fails the test on two leases
	is.True(f.node.role() != RoleLeader)
}

// Guards against a member that campaigns while a leader's lease depends on it.
func TestCampaignWaitsForTheLeadersLease(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	f.node.CampaignNow()
	is.Equal(f.node.role(), RoleFollower)
	f.node.now += uint64(s.cfg.ElectionTicks)
	f.node.CampaignNow()
	is.Equal(f.node.role(), RolePreCandidate)
}

// Guards against a leader that lacks committed entries: members grant votes only to
// candidates whose log is at least as up-to-date as their own.
func TestVoteNeedsUpToDateLog(t *testing.T) {
	is := is.New(t)
	for _, ty := range []apipb.MessageType{apipb.MessageType_MESSAGE_TYPE_VOTE, apipb.MessageType_MESSAGE_TYPE_PRE_VOTE} {
		for _, c := range []struct {
			index, term uint64
			grant       bool
		}{{3, 4, false}, {4, 4, true}, {9, 3, false}, {2, 5, true}} {
			n, err := New(Config{ID: 1}, stateWithTerms(t, 0, 2, 4, 4))
			is.NoErr(err)
			n.now += 50
			is.NoErr(n.Step(&apipb.ConsensusMessage{
				Type: ty, From: 2, To: 1, Term: 9, Index: c.index, LogTerm: c.term,
			}))
			rd, _ := n.Ready()
			is.Equal(rd.Messages[0].GetReject(), !c.grant)
		}
	}
}

// Guards against a member change that stays in effect after its entry is truncated.
func TestTruncationUndoesMemberChange(t *testing.T) {
	is := is.New(t)
	n, err := New(Config{ID: 1}, stateWithTerms(t, 0, 2))
	is.NoErr(err)
	data, err := proto.Marshal(&apipb.MemberChange{Member: &apipb.Member{Id: 7}})
	is.NoErr(err)
	add := &apipb.LogEntry{Index: 3, Term: 3, Type: apipb.EntryType_ENTRY_TYPE_MEMBER_CHANGE, Data: data}
	app := &apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_APPEND, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Entries: []*apipb.LogEntry{add},
	}
	is.NoErr(n.Step(app))
	is.True(findMember(n.Status().Members, 7) != nil)
	app.Term, app.From, app.Entries = 4, 3, []*apipb.LogEntry{{Index: 3, Term: 4}}
	is.NoErr(n.Step(app))
	is.True(findMember(n.Status().Members, 7) == nil)
}

// Guards against a reply to a read from before a restart that is taken for the reply
// to a new read with the same request id.
func TestReadAnswerForEarlierStartIsIgnored(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	held := interceptMessages(s, func(m *apipb.ConsensusMessage) bool {
		return m.GetType() == apipb.MessageType_MESSAGE_TYPE_READ_INDEX_REPLY
	})
	s.read(f)
	s.run(2)
	is.Equal(len(*held), 1)
	s.start(f)
	f.lastReadID = 0
	s.run(3)
	is.NoErr(s.propose(l))
	s.run(2)
	s.read(f)
	s.deliverIntercepted(*held) // a stale index fails the test
	is.Equal(len(f.answeredReads), 0)
}

// Guards against committing an entry of an earlier term by counting its replicas: a
// later leader could still replace it.
func TestOnlyEntriesOfOwnTermAreCounted(t *testing.T) {
	is := is.New(t)
	n, err := New(Config{ID: 1}, stateWithTerms(t, 0, 2, 2))
	is.NoErr(err)
	n.now += 50
	n.CampaignNow()
	n.startElection(triggerPreVoteWon, false)
	reply := &apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_VOTE_REPLY, From: 2, To: 1, Term: 3}
	is.NoErr(n.Step(reply))
	is.Equal(n.role(), RoleLeader)
	rd, _ := n.Ready()
	n.Advance(rd)
	reply.Type, reply.Index = apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY, 3
	is.NoErr(n.Step(reply))
	is.Equal(n.log.committed, uint64(1))
	reply.Index = 4
	is.NoErr(n.Step(reply))
	is.Equal(n.log.committed, uint64(4))
}

// Guards against an endless loop of appends and rejections, paced only by the network,
// with a member that lost data it had acknowledged.
func TestAppendRateToMemberWithLostDataIsBounded(t *testing.T) {
	is, s, l := newGroup(t)
	for range 10 {
		is.NoErr(s.propose(l))
		s.run(1)
	}
	f := follower(s, l)
	f.disk.Entries = nil
	f.disk.HardState = &apipb.HardState{Term: l.node.term, Commit: bootstrapIndex}
	s.start(f)
	is.NoErr(s.propose(l))
	appends := s.sent[apipb.MessageType_MESSAGE_TYPE_APPEND]
	s.run(50)
	is.True(s.sent[apipb.MessageType_MESSAGE_TYPE_APPEND]-appends <= 60) // about one per heartbeat
}
