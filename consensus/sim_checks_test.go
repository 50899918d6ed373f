package consensus

import (
	"hash/fnv"
	"strconv"

	"pistachiomount.example/pistachiomount/apipb"
)

// simChecks records the history of a simulation and checks the safety properties
// against it.
type simChecks struct {
	leaders           map[uint64]uint64       // term: leader
	written           map[[2]uint64]logRecord // index, term
	committed         map[uint64]logRecord    // by index
	digests           map[uint64]uint64       // digest of the state machine by index
	maxCommit         uint64
	readsAnswered     int
	leaseObservations int // observations of a valid lease
}

type logRecord struct {
	term, prevTerm uint64
	data           string
}

func newSimChecks() simChecks {
	return simChecks{
		leaders: map[uint64]uint64{}, written: map[[2]uint64]logRecord{},
		committed: map[uint64]logRecord{}, digests: map[uint64]uint64{bootstrapIndex: 0, 0: 0},
	}
}

// checkLogMatching checks that an index and term determine an entry and its predecessor.
func (c *simChecks) checkLogMatching(t testingT, disk *PersistentState, rd Ready) {
	for i, e := range rd.Entries {
		prev, known := uint64(0), true
		switch base := disk.Snapshot.GetMeta(); {
		case i > 0:
			prev = rd.Entries[i-1].GetTerm()
		case rd.Snapshot != nil || e.GetIndex() == base.GetIndex()+1:
			known = false
		default:
			prev = disk.Entries[e.GetIndex()-base.GetIndex()-2].GetTerm()
		}
		if !known {
			continue
		}
		key := [2]uint64{e.GetIndex(), e.GetTerm()}
		rec := logRecord{e.GetTerm(), prev, string(e.GetData())}
		if old, ok := c.written[key]; ok && old != rec {
			t.Fatalf("log matching: entry %v is %+v and %+v", key, old, rec)
		}
		c.written[key] = rec
	}
}

// checkDurable checks that the votes, acknowledgements and terms in a message are
// already on disk.
func (c *simChecks) checkDurable(t testingT, disk *PersistentState, m *apipb.ConsensusMessage) {
	last := disk.Snapshot.GetMeta().GetIndex() + uint64(len(disk.Entries))
	hs, ok := disk.HardState, true
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY:
		ok = m.GetReject() || m.GetIndex() <= last
	case apipb.MessageType_MESSAGE_TYPE_VOTE_REPLY:
		ok = m.GetReject() || hs.GetVotedFor() == m.GetTo()
	case apipb.MessageType_MESSAGE_TYPE_VOTE:
		ok = hs.GetVotedFor() == m.GetFrom()
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE, apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		return
	}
	if !ok || m.GetTerm() > hs.GetTerm() {
		t.Fatalf("message %v is sent before its state is on disk: last entry %d, hard state %v", m, last, hs)
	}
}

// checkInvariants checks the properties that must hold after every event: election
// safety and at most one valid lease.
func (c *simChecks) checkInvariants(s *sim, m *simMember) {
	st := m.node.Status()
	c.maxCommit = max(c.maxCommit, st.Commit)
	if st.Role == RoleLeader {
		c.checkElectionSafety(s.t, m, st)
	}
	holders := 0
	for _, id := range s.order {
		if x := s.members[id]; x.node != nil && !x.frozen && x.node.leaseTicksLeft() > 0 {
			holders++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%d members hold a valid lease at time %d", holders, s.now)
	}
	c.leaseObservations += holders
}

// checkElectionSafety checks that a term has only one leader and that this leader
// holds every committed entry.
func (c *simChecks) checkElectionSafety(t testingT, m *simMember, st Status) {
	old, ok := c.leaders[st.Term]
	if ok && old != m.id {
		t.Fatalf("term %d has leaders %d and %d", st.Term, old, m.id)
	}
	if ok {
		return
	}
	c.leaders[st.Term] = m.id
	for i := m.node.log.baseIndex() + 1; i <= c.maxCommit; i++ {
		rec, applied := c.committed[i]
		if term, held := m.node.log.term(i); applied && (!held || term != rec.term) {
			t.Fatalf("leader completeness: leader %d of term %d lacks committed entry %d of term %d", m.id, st.Term, i, rec.term)
		}
	}
}

// checkApply checks that all members apply the same entry at an index, and returns
// the new digest of the state machine.
func (c *simChecks) checkApply(t testingT, id uint64, e *apipb.LogEntry, digest uint64) uint64 {
	rec := logRecord{term: e.GetTerm(), data: string(e.GetData())}
	if old, ok := c.committed[e.GetIndex()]; ok && old != rec {
		t.Fatalf("state machine safety: member %d applies %+v at %d, another applied %+v", id, rec, e.GetIndex(), old)
	}
	c.committed[e.GetIndex()] = rec
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, digest, 10))
	_, _ = h.Write(e.GetData())
	sum := h.Sum64()
	if old, ok := c.digests[e.GetIndex()]; ok && old != sum {
		t.Fatalf("state machine of member %d differs after entry %d", id, e.GetIndex())
	}
	c.digests[e.GetIndex()] = sum
	return sum
}

// checkSnapshotDigest checks that the digest in a snapshot equals the one reached by
// applying the entries, and returns it.
func (c *simChecks) checkSnapshotDigest(t testingT, s *apipb.Snapshot) uint64 {
	digest, _ := strconv.ParseUint(string(s.GetData()), 10, 64)
	if want, ok := c.digests[s.GetMeta().GetIndex()]; !ok || want != digest {
		t.Fatalf("snapshot at %d has digest %x, want %x", s.GetMeta().GetIndex(), digest, want)
	}
	return digest
}

// checkRead checks that a read sees everything that was committed before its request.
func (c *simChecks) checkRead(t testingT, m *simMember, r ReadState) {
	asked, ok := m.reads[r.RequestID]
	if !ok {
		t.Fatalf("member %d: reply to unknown read %d", m.id, r.RequestID)
	}
	if r.Index < asked {
		t.Fatalf("stale read at member %d: index %d, committed before the request: %d", m.id, r.Index, asked)
	}
	c.readsAnswered++
	m.answeredReads = append(m.answeredReads, r)
}
