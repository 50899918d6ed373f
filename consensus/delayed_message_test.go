package consensus

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// interceptMessages takes the messages that match out of the network and returns them.
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

// deliverIntercepted hands messages over whatever the state of the network.
func (s *sim) deliverIntercepted(held []*apipb.ConsensusMessage) {
	for _, m := range held {
		to := s.members[m.GetTo()]
		if err := to.node.Step(m); err != nil {
			s.t.Fatalf("member %d: %v", to.id, err)
		}
		s.processReady(to)
	}
}

// Guards against a lease that counts from when the answer to a heartbeat came
// in instead of when the heartbeat was sent.
func TestLeaseCountsFromHeartbeatSend(t *testing.T) {
	is, s, l := newGroup(t)
	held := interceptMessages(s, func(m *apipb.ConsensusMessage) bool {
		return m.GetType() == apipb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY
	})
	for l.node.Status().LeaseValid {
		s.run(1)
	}
	is.Equal(l.node.role(), RoleLeader)
	s.deliverIntercepted((*held)[:2]) // answers to a round as old as the lease is long
	is.True(l.node.Status().LeaseTicksLeft <= 1)
}

// Guards against a TIMEOUT_NOW that arrives after the transfer was given up and
// makes a second leader while the first holds its lease again.
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
	s.run(2) // observe fails the test on two leases
	is.True(f.node.role() != RoleLeader)
}

// Guards against a member that campaigns against the leader it just answered.
func TestCampaignWaitsForTheLeadersLease(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	f.node.CampaignNow()
	is.Equal(f.node.role(), RoleFollower)
	f.node.now += uint64(s.cfg.ElectionTicks)
	f.node.CampaignNow()
	is.Equal(f.node.role(), RolePreCandidate)
}

// Guards against a leader that lacks committed entries.
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

// Guards against a membership that survives the truncation of its entry.
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

// Guards against an answer to a read of an earlier start that is taken for the
// answer to a new read with the same request id.
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

// Guards against committing an entry of an earlier term by counting its copies: a
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

// Guards against an endless exchange, at the speed of the network, with a member
// that lost data it had acknowledged.
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
	is.True(s.sent[apipb.MessageType_MESSAGE_TYPE_APPEND]-appends <= 60) // one a heartbeat
}
