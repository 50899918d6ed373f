package consensus

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// stateWithTerms returns a persisted state whose entries have the given terms.
func stateWithTerms(t *testing.T, votes uint64, terms ...uint64) PersistentState {
	t.Helper()
	p, err := Bootstrap([]*apipb.Member{{Id: 1}, {Id: 2}, {Id: 3}})
	if err != nil {
		t.Fatal(err)
	}
	for i, term := range terms {
		p.Entries = append(p.Entries, &apipb.LogEntry{Index: uint64(i) + bootstrapIndex + 1, Term: term})
	}
	p.HardState = &apipb.HardState{Term: terms[len(terms)-1], VotedFor: votes, Commit: bootstrapIndex}
	return p
}

func restartWithState(s *sim, id uint64, p PersistentState) {
	s.members[id].disk = p
	s.start(s.members[id])
}

// Guards against log matching that needs a round trip for each diverging entry.
func TestDivergingLogsAgreeInFewRoundTrips(t *testing.T) {
	is := is.New(t)
	var long, short []uint64
	for i := range uint64(500) {
		long = append(long, 2+2*(i/100)) // terms 2, 4, 6, 8, 10
		short = append(short, 2+(i/100)) // 100 entries in common, then terms 3, 4, 5, 6
	}
	s := newSim(t, testSeed, 3)
	restartWithState(s, 1, stateWithTerms(t, 1, long...))
	restartWithState(s, 3, stateWithTerms(t, 1, long...))
	restartWithState(s, 2, stateWithTerms(t, 2, short...))
	rejected := 0
	s.onSend = func(m *apipb.ConsensusMessage) {
		if m.GetFrom() == 2 && m.GetType() == apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY && m.GetReject() {
			rejected++
		}
	}
	l := s.waitForLeader()
	s.run(10)
	is.Equal(s.members[2].digest, l.digest)
	is.Equal(s.members[2].node.log.applied, l.node.log.applied)
	t.Logf("%d rejected appends for 400 diverging entries in 4 terms", rejected)
	is.True(rejected >= 1)
	is.True(rejected <= 5)
}

// Guards against a leader that buffers or sends without limit if members do not respond.
func TestAppendsToUnresponsiveMemberAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSim(t, testSeed, 3)
	s.cfg = s.cfg.withDefaults()
	s.cfg.MaxInflight, s.cfg.MaxUncommittedBytes = 4, 8<<20
	for _, id := range s.order {
		s.start(s.members[id])
	}
	l := s.waitForLeader()
	s.run(5)
	f := follower(s, l)
	sent, largest := 0, 0
	s.onSend = func(m *apipb.ConsensusMessage) {
		largest = max(largest, proto.Size(m))
		if m.GetTo() == f.id && m.GetType() == apipb.MessageType_MESSAGE_TYPE_APPEND {
			sent++
		}
	}
	f.frozen = true
	data := bytes.Repeat([]byte{1}, 200<<10)
	for range 20 {
		is.NoErr(l.node.Propose(data))
	}
	s.processReady(l)
	is.Equal(sent, 4)
	s.run(3)
	is.True(l.node.log.committed == l.node.log.lastIndex()) // the other members still commit
	is.True(largest <= DefaultMaxMessageBytes)
	is.True(errors.Is(l.node.Propose(make([]byte, DefaultMaxMessageBytes)), ErrProposalTooLarge))
	is.NoErr(l.node.Propose(make([]byte, l.node.cfg.maxEntryBytes())))
	s.processReady(l)
	is.True(largest <= DefaultMaxMessageBytes)

	for _, id := range s.order {
		s.members[id].frozen = id != l.id
	}
	var err error
	for i := 0; i < 100 && err == nil; i++ {
		err = l.node.Propose(data)
	}
	is.True(errors.Is(err, ErrBusy))
	is.True(l.node.uncommittedBytes <= 8<<20)
}

// Guards against a snapshot message above the size limit, and against a wrong state
// after chunks were lost or duplicated.
func TestSnapshotGoesInChunks(t *testing.T) {
	is := is.New(t)
	s := newSim(t, testSeed, 3)
	s.cfg = s.cfg.withDefaults()
	s.cfg.MaxMessageBytes, s.cfg.KeepEntries = 1024, 1
	for _, id := range s.order {
		s.start(s.members[id])
	}
	l := s.waitForLeader()
	f := follower(s, l)
	s.crash(f)
	for range 20 {
		is.NoErr(s.propose(l))
	}
	s.run(3)
	s.compact(l)
	want := l.disk.Snapshot
	want.Data = append(bytes.Repeat([]byte{'0'}, 5000), want.GetData()...) // leading zeros: the same digest in more bytes
	chunks := 0
	s.onSend = func(m *apipb.ConsensusMessage) {
		if m.GetType() == apipb.MessageType_MESSAGE_TYPE_SNAPSHOT {
			chunks++
			is.True(proto.Size(m) <= 1024)
		}
	}
	s.lossRate, s.dupRate = 0.2, 0.2
	s.start(f)
	s.run(300)
	is.True(chunks >= 7)
	is.True(proto.Equal(f.disk.Snapshot, want))
	is.Equal(f.digest, l.digest)
}

// Guards against an increase in messages and bytes per committed entry, in a group of
// three with a batch of ten proposals per tick.
func TestCostPerCommittedEntry(t *testing.T) {
	is, s, l := newGroup(t)
	s.maxDelay = 1 // links keep the order of messages
	messages, wire := 0, 0
	s.onSend = func(m *apipb.ConsensusMessage) {
		messages++
		wire += proto.Size(m)
	}
	data := make([]byte, 100)
	before := l.node.log.committed
	for range 100 {
		for range 10 {
			is.NoErr(l.node.Propose(data))
		}
		s.processReady(l)
		s.run(1)
	}
	s.run(2)
	n := float64(l.node.log.committed - before)
	is.Equal(n, 1000.0)
	t.Logf("%.2f messages and %.0f bytes per committed entry of 100 bytes", float64(messages)/n, float64(wire)/n)
	is.True(float64(messages)/n <= 0.9) // 2 appends, 2 heartbeats and 4 replies for ten entries
	is.True(float64(wire)/n <= 300)     // two copies of 100 bytes and framing
}

// Guards against a separate heartbeat round for each of many concurrent reads.
func TestReadsShareRounds(t *testing.T) {
	is, s, l := newGroup(t)
	before := s.sent[apipb.MessageType_MESSAGE_TYPE_HEARTBEAT]
	for range 1000 {
		s.read(l)
	}
	s.run(1)
	is.Equal(len(l.answeredReads), 1000)
	beats := s.sent[apipb.MessageType_MESSAGE_TYPE_HEARTBEAT] - before
	t.Logf("%d heartbeats for 1000 reads", beats)
	is.True(beats <= 8)
	for err := error(nil); err == nil; err = l.node.ReadIndex(1) {
		is.True(len(l.node.waitingReads) <= DefaultMaxPendingReads)
	}
}

// nodePair is a leader and a follower that exchange messages without a network.
type nodePair struct{ nodes map[uint64]*Node }

func newNodePair(tb testing.TB) *nodePair {
	set := []*apipb.Member{{Id: 1}, {Id: 2}}
	p := &nodePair{nodes: map[uint64]*Node{}}
	for id := uint64(1); id <= 2; id++ {
		state, err := Bootstrap(set)
		if err != nil {
			tb.Fatal(err)
		}
		if p.nodes[id], err = New(Config{ID: id, Seed: id}, state); err != nil {
			tb.Fatal(err)
		}
	}
	p.nodes[1].CampaignNow()
	p.exchangeUntilIdle(tb)
	return p
}

func (p *nodePair) exchangeUntilIdle(tb testing.TB) {
	for busy := true; busy; {
		busy = false
		for id := uint64(1); id <= 2; id++ {
			rd, ok := p.nodes[id].Ready()
			if !ok {
				continue
			}
			busy = true
			for _, m := range rd.Messages {
				if err := p.nodes[m.GetTo()].Step(m); err != nil {
					tb.Fatal(err)
				}
			}
			p.nodes[id].Advance(rd)
		}
	}
}

// Guards against additional allocations per committed entry.
func TestAllocationsPerCommittedEntry(t *testing.T) {
	is := is.New(t)
	p := newNodePair(t)
	data := make([]byte, 100)
	const batch = 100
	allocs := testing.AllocsPerRun(50, func() {
		for range batch {
			is.NoErr(p.nodes[1].Propose(data))
		}
		p.exchangeUntilIdle(t)
	}) / batch
	t.Logf("%.2f allocations per committed entry", allocs)
	is.True(allocs <= 2)
	l := p.nodes[1]
	is.True(l.log.committed >= 50*batch)
	idle := testing.AllocsPerRun(100, func() { _ = l.Status() })
	is.Equal(idle, 0.0)
}

func BenchmarkCommit(b *testing.B) {
	p := newNodePair(b)
	data := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if err := p.nodes[1].Propose(data); err != nil {
			b.Fatal(err)
		}
		p.exchangeUntilIdle(b)
		if l := p.nodes[1]; l.log.applied%DefaultKeepEntries == 0 {
			for _, n := range p.nodes {
				s, err := n.MakeSnapshot(n.log.applied, nil)
				if err != nil {
					b.Fatal(err)
				}
				n.Compact(s)
			}
		}
	}
}
