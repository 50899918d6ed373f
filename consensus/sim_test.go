package consensus

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// tickUnits is the nominal length of a tick in simulated time.
const tickUnits = 10000

// testingT is the subset of testing.T and rapid.T that the simulation needs.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

var errDown = errors.New("member is down")

// sim simulates a group with an unreliable network in simulated time and checks the
// safety properties after every event.
type sim struct {
	t       testingT
	rng     *rand.Rand
	cfg     Config
	now     int64
	members map[uint64]*simMember
	order   []uint64
	queue   packetQueue
	seq     int

	lossRate, dupRate float64
	maxDelay          int64
	blocked           func(from, to uint64) bool

	lostDisks map[uint64]bool // ids whose disk was lost
	nextID    uint64
	proposed  int
	checks    simChecks
	sent      map[apipb.MessageType]int
	onSend    func(*apipb.ConsensusMessage) // called with every message sent
}

type simMember struct {
	id           uint64
	node         *Node
	disk         PersistentState
	tickInterval int64
	nextTick     int64
	frozen       bool
	// crashAt makes the member crash in the next processReady: 1 before it persists,
	// 2 after it persisted and before it sends.
	crashAt       int
	starts        uint64
	digest        uint64 // of the applied commands
	lastReadID    uint64
	reads         map[uint64]uint64 // request id: commit index at the time of the request
	answeredReads []ReadState
}

type packet struct {
	at  int64
	seq int
	msg *apipb.ConsensusMessage
}

type packetQueue []packet

func (q packetQueue) Len() int { return len(q) }
func (q packetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *packetQueue) Push(x any)   { *q = append(*q, x.(packet)) }
func (q *packetQueue) Pop() any {
	p := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return p
}

func newSim(t testingT, seed uint64, voters int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: Config{ElectionTicks: 10, HeartbeatTicks: 1, KeepEntries: 5},
		members: map[uint64]*simMember{}, maxDelay: tickUnits / 10, lostDisks: map[uint64]bool{},
		blocked: func(uint64, uint64) bool { return false },
		checks:  newSimChecks(), sent: map[apipb.MessageType]int{},
	}
	var set []*apipb.Member
	for range voters {
		s.nextID++
		set = append(set, &apipb.Member{Id: s.nextID})
	}
	p, err := Bootstrap(set)
	if err != nil {
		t.Fatalf("Bootstrap: %v", err)
	}
	for _, m := range set {
		s.addMember(m.GetId(), p)
	}
	return s
}

func (s *sim) addMember(id uint64, p PersistentState) *simMember {
	m := &simMember{id: id, disk: p, reads: map[uint64]uint64{}}
	m.tickInterval = tickUnits*98/100 + s.rng.Int64N(tickUnits*4/100+1)
	s.members[id] = m
	s.order = append(s.order, id)
	s.start(m)
	return m
}

func (s *sim) start(m *simMember) {
	cfg := s.cfg
	cfg.ID, cfg.Seed = m.id, s.rng.Uint64()
	m.starts++
	node, err := New(cfg, m.disk)
	if err != nil {
		s.t.Fatalf("member %d does not start: %v", m.id, err)
	}
	m.node, m.frozen, m.crashAt = node, false, 0
	m.reads = map[uint64]uint64{}
	m.digest = s.checks.checkSnapshotDigest(s.t, m.disk.Snapshot)
	m.nextTick = s.now + 1 + s.rng.Int64N(m.tickInterval)
}

func (s *sim) crash(m *simMember) { m.node = nil }

// thaw resumes a frozen member, which first processes the ticks it missed.
func (s *sim) thaw(m *simMember) {
	m.frozen = false
	for m.node != nil && m.nextTick <= s.now {
		m.nextTick += m.tickInterval
		m.node.Tick()
	}
	s.processReady(m)
}

// run advances simulated time by the given number of nominal ticks.
func (s *sim) run(ticks int) {
	end := s.now + int64(ticks)*tickUnits
	for {
		m, at := s.nextTicker()
		if len(s.queue) > 0 && s.queue[0].at < at {
			m, at = nil, s.queue[0].at
		}
		if at > end {
			s.now = end
			return
		}
		s.now = max(s.now, at)
		if m != nil {
			m.nextTick += m.tickInterval
			m.node.Tick()
		} else if m = s.deliver(heap.Pop(&s.queue).(packet)); m == nil {
			continue
		}
		s.processReady(m)
	}
}

func (s *sim) nextTicker() (best *simMember, at int64) {
	at = 1 << 62
	for _, id := range s.order {
		if m := s.members[id]; m.node != nil && !m.frozen && m.nextTick < at {
			best, at = m, m.nextTick
		}
	}
	return best, at
}

func (s *sim) deliver(p packet) *simMember {
	m := s.members[p.msg.GetTo()]
	if m == nil || m.node == nil || s.blocked(p.msg.GetFrom(), m.id) {
		return nil
	}
	if m.frozen {
		s.push(p.msg, s.now+tickUnits/2)
		return nil
	}
	if err := m.node.Step(p.msg); err != nil {
		s.t.Fatalf("member %d: Step with %v: %v", m.id, p.msg.GetType(), err)
	}
	return m
}

// processReady persists, sends and applies the pending work of a member, as a
// driver does, until there is none.
func (s *sim) processReady(m *simMember) {
	for m.node != nil {
		s.checks.checkInvariants(s, m)
		rd, ok := m.node.Ready()
		if !ok {
			return
		}
		if m.crashAt == 1 {
			s.crash(m)
			return
		}
		s.checks.checkLogMatching(s.t, &m.disk, rd)
		m.persist(rd)
		if m.crashAt == 2 {
			s.crash(m)
			return
		}
		for _, msg := range rd.Messages {
			s.checks.checkDurable(s.t, &m.disk, msg)
			s.send(msg)
		}
		s.apply(m, rd)
		m.node.Advance(rd)
	}
}

func (m *simMember) persist(rd Ready) {
	d := &m.disk
	if rd.Snapshot != nil {
		d.Snapshot, d.Entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		d.HardState = rd.HardState
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].GetIndex() - d.Snapshot.GetMeta().GetIndex() - 1
		d.Entries = append(d.Entries[:keep:keep], rd.Entries...)
	}
}

func (s *sim) send(msg *apipb.ConsensusMessage) {
	s.sent[msg.GetType()]++
	if s.onSend != nil {
		s.onSend(msg)
	}
	copies := 1
	if s.rng.Float64() < s.dupRate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() >= s.lossRate && !s.blocked(msg.GetFrom(), msg.GetTo()) {
			s.push(msg, s.now+1+s.rng.Int64N(s.maxDelay))
		}
	}
}

func (s *sim) push(msg *apipb.ConsensusMessage, at int64) {
	s.seq++
	heap.Push(&s.queue, packet{at, s.seq, msg})
}

func (s *sim) apply(m *simMember, rd Ready) {
	if rd.Snapshot != nil {
		m.digest = s.checks.checkSnapshotDigest(s.t, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		m.digest = s.checks.checkApply(s.t, m.id, e, m.digest)
	}
	for _, r := range rd.ReadStates {
		s.checks.checkRead(s.t, m, r)
	}
}

// compact makes a snapshot of everything a member has applied and compacts its log.
func (s *sim) compact(m *simMember) {
	st := m.node.Status()
	snap, err := m.node.MakeSnapshot(st.Applied, fmt.Appendf(nil, "%d", m.digest))
	if err != nil {
		s.t.Fatalf("member %d: MakeSnapshot: %v", m.id, err)
	}
	m.disk.Entries = m.disk.Entries[st.Applied-m.disk.Snapshot.GetMeta().GetIndex():]
	m.disk.Snapshot = snap
	m.node.Compact(snap)
}

// leader returns the running leader with the highest term, or nil.
func (s *sim) leader() (best *simMember) {
	for _, id := range s.order {
		m := s.members[id]
		if m.node != nil && !m.frozen && m.node.role() == RoleLeader && (best == nil || m.node.term > best.node.term) {
			best = m
		}
	}
	return best
}

// waitForLeader runs the simulation until a leader has committed an entry of its term.
func (s *sim) waitForLeader() *simMember {
	s.t.Helper()
	for range 400 {
		if l := s.leader(); l != nil && l.node.termCommitted() {
			return l
		}
		s.run(1)
	}
	s.t.Fatalf("no leader after 400 ticks")
	return nil
}

func (s *sim) propose(m *simMember) error {
	if m.node == nil {
		return errDown
	}
	s.proposed++
	err := m.node.Propose(fmt.Appendf(nil, "command %d", s.proposed))
	s.processReady(m)
	return err
}

func (s *sim) proposeMemberChange(m *simMember, c *apipb.MemberChange) error {
	if m.node == nil {
		return errDown
	}
	err := m.node.ProposeMemberChange(proto.Clone(c).(*apipb.MemberChange))
	s.processReady(m)
	return err
}

func (s *sim) read(m *simMember) {
	m.lastReadID++
	m.reads[m.lastReadID] = s.checks.maxCommit
	_ = m.node.ReadIndex(m.lastReadID)
	s.processReady(m)
}
