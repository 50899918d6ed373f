package consensus

import (
	"bytes"
	"testing"

	"pistachiomount.example/pistachiomount/apipb"
)

// countAppendsTo counts the appends with entries to a member, none of which arrives.
func countAppendsTo(s *sim, id uint64) *int {
	n := new(int)
	s.onSend = func(m *apipb.ConsensusMessage) {
		if m.GetTo() == id && m.GetType() == apipb.MessageType_MESSAGE_TYPE_APPEND && len(m.GetEntries()) > 0 {
			*n++
			m.To = 99
		}
	}
	return n
}

// Guards against a long append that is sent again with each heartbeat that overtakes it, until the link
// carries nothing else, and against one that is never sent again.
func TestLongAppendIsGivenItsTime(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	data := bytes.Repeat([]byte{1}, 20*DefaultMinBytesPerTick)
	appends := countAppendsTo(s, f.id)
	is.NoErr(l.node.Propose(data))
	s.run(15)
	is.Equal(*appends, 1)
	s.run(15)
	is.Equal(*appends, 2)
}

// Guards against a member that waits for the whole time of a long append after its connection broke, and
// against one that is sent entries without a pause while it cannot be reached.
func TestUndeliveredAppendIsSentAgainWithTheNextHeartbeat(t *testing.T) {
	is, s, l := newGroup(t)
	f := follower(s, l)
	appends := countAppendsTo(s, f.id)
	is.NoErr(l.node.Propose(bytes.Repeat([]byte{1}, 100*DefaultMinBytesPerTick)))
	s.run(1)
	is.Equal(*appends, 1)
	l.node.ReportFailure(f.id)
	s.run(3)
	is.Equal(*appends, 2)
	f.frozen = true // acknowledges no heartbeat
	for range 10 {
		l.node.ReportFailure(f.id)
		s.run(1)
	}
	is.Equal(*appends, 2)
}

// Guards against a leader that keeps gigabytes of long entries in memory below its snapshots.
func TestLogBelowASnapshotIsBoundedInBytes(t *testing.T) {
	is, s, l := newGroup(t)
	l.node.cfg.KeepEntries = 100
	l.node.cfg.KeepBytes = 10_000
	for range 50 {
		is.NoErr(l.node.Propose(make([]byte, 1000)))
		s.run(1)
	}
	s.run(5)
	snapshot, err := l.node.MakeSnapshot(l.node.log.applied, nil)
	is.NoErr(err)
	l.node.Compact(snapshot)
	is.True(entriesSize(l.node.log.entries[1:]) <= 10_000)
	is.True(len(l.node.log.entries) > 5)
}
