package consensus

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
)

const (
	// simulatedRuns is per shard; it keeps the package's tests within 20 s under
	// the race detector.
	simulatedRuns = "40"
	// safetyShards run at the same time.
	safetyShards = 4
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", simulatedRuns)
	}
	os.Exit(m.Run())
}

// Guards against two leaders in a term, diverging logs, lost commits, two valid
// leases and stale reads under any mix of faults and member changes.
func TestSafetyUnderFaults(t *testing.T) {
	for shard := range safetyShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			checkSafety(t)
		})
	}
}

func checkSafety(t *testing.T) {
	reads, leases, commits := 0, 0, uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 3, 5, 1}).Draw(rt, "voters"))
		f := &faults{sim: s}
		for _, action := range rapid.SliceOfN(rapid.IntRange(0, len(faultActions)-1), 60, 150).Draw(rt, "actions") {
			f.act(action)
			s.run(rapid.SampledFrom([]int{0, 1, 3, 10, 30}).Draw(rt, "ticks"))
		}
		f.heal()
		f.mustConverge()
		reads, leases, commits = reads+s.checks.served, leases+s.checks.leases, commits+s.checks.maxCommit
	})
	if reads == 0 || leases == 0 || commits == 0 {
		t.Fatalf("the runs exercised too little: %d reads, %d leases, %d commits", reads, leases, commits)
	}
	t.Logf("%d reads, %d lease observations, %d commits", reads, leases, commits)
}

// faultAction is one step of a run. Unless it is marked as always possible, it
// needs a random live member m and a leader l.
type faultAction struct {
	name   string
	always bool
	run    func(f *faults, m, l *simMember)
}

var faultActions = []faultAction{
	{"propose", false, func(f *faults, _, l *simMember) { _ = f.propose(l) }},
	{"propose more", false, func(f *faults, _, l *simMember) { _, _ = f.propose(l), f.propose(l) }},
	{"propose anywhere", false, func(f *faults, m, _ *simMember) { _ = f.propose(m) }},
	{"read", false, func(f *faults, m, _ *simMember) { f.read(m) }},
	{"read everywhere", true, func(f *faults, _, _ *simMember) { f.eachLive(f.read) }},
	{"loss", true, func(f *faults, _, _ *simMember) { f.loss, f.dup = 0.3*f.rng.Float64(), 0.2 }},
	{"calm", true, func(f *faults, _, _ *simMember) { f.loss, f.dup, f.maxDelay = 0, 0, tickUnits/10 }},
	{"delay", true, func(f *faults, _, _ *simMember) { f.maxDelay = tickUnits * (1 + f.rng.Int64N(15)) }},
	{"partition", true, func(f *faults, _, _ *simMember) { f.partition(f.rng.Uint64()) }},
	{"isolate leader", false, func(f *faults, _, l *simMember) { isolate(f.sim, l.id) }},
	{"heal network", true, func(f *faults, _, _ *simMember) { unblock(f.sim) }},
	{"freeze", false, func(_ *faults, m, _ *simMember) { m.frozen = true }},
	{"freeze leader", false, func(_ *faults, _, l *simMember) { l.frozen = true }},
	{"thaw", true, func(f *faults, m, _ *simMember) { f.thaw(m) }},
	{"crash", false, func(f *faults, m, _ *simMember) { f.crash(m) }},
	{"crash unsynced", false, func(_ *faults, m, _ *simMember) { m.crashAt = 1 }},
	{"crash unsent", false, func(_ *faults, m, _ *simMember) { m.crashAt = 2 }},
	{"restart", true, func(f *faults, m, _ *simMember) { f.restart(m) }},
	{"restart another", true, func(f *faults, m, _ *simMember) { f.restart(m) }},
	{"compact", false, func(f *faults, m, _ *simMember) { f.compact(m) }},
	{"campaign", false, func(f *faults, m, _ *simMember) { m.node.CampaignNow(); f.work(m) }},
	{"transfer", false, func(f *faults, m, l *simMember) { _ = l.node.TransferLeadership(m.id); f.work(l) }},
	{"add", false, func(f *faults, _, l *simMember) { f.join(l, 8) }},
	{"promote", false, func(f *faults, m, l *simMember) { _ = f.change(l, changeOf(promoteType, m.id, 0)) }},
	{"remove", false, func(f *faults, m, l *simMember) { f.remove(l, m) }},
	{"replace", false, func(f *faults, m, l *simMember) { _ = f.change(l, changeOf(replaceType, m.id, f.any().id)) }},
	{"lose disk", false, func(f *faults, m, l *simMember) { f.loseDisk(l, m) }},
	{"lose another disk", false, func(f *faults, m, l *simMember) { f.loseDisk(l, m) }},
	{"repair", false, func(f *faults, _, l *simMember) { f.repair(l) }},
	{"repair again", false, func(f *faults, _, l *simMember) { f.repair(l) }},
}

type faults struct{ *sim }

func (f *faults) any() *simMember { return f.members[f.order[f.rng.IntN(len(f.order))]] }

func (f *faults) eachLive(do func(*simMember)) {
	for _, id := range f.order {
		if m := f.members[id]; m.node != nil && !m.frozen {
			do(m)
		}
	}
}

func (f *faults) act(i int) {
	m, l := f.any(), f.leader()
	if a := faultActions[i]; a.always || (m.node != nil && !m.frozen && l != nil) {
		a.run(f, m, l)
	}
}

func (f *faults) restart(m *simMember) {
	if m.node == nil && !f.lost[m.id] {
		f.start(m)
	}
}

func (f *faults) remove(l, m *simMember) {
	if len(voterIDs(l.node.members.current())) > 3 {
		_ = f.change(l, changeOf(removeType, m.id, 0))
	}
}

func (f *faults) join(l *simMember, limit int) {
	if len(f.order) < limit {
		f.nextID++
		f.addMember(f.nextID, PersistentState{})
		_ = f.change(l, changeOf(addType, f.nextID, 0))
	}
}

// loseDisk destroys what a voter persisted, at most one at a time: a second loss
// before the repair may take the only copy of a committed entry.
func (f *faults) loseDisk(l, m *simMember) {
	rec := l.node.members.last()
	if !l.node.termCommitted() || rec.index > l.node.log.committed || isJoint(rec.set) || len(voterIDs(rec.set)) < 3 ||
		!isVoter(rec.set, m.id) || f.lostVoter(rec.set) != 0 {
		return
	}
	f.lost[m.id] = true
	f.crash(m)
	m.disk = PersistentState{}
	f.join(l, 100)
}

func (f *faults) lostVoter(set *apipb.MemberSet) uint64 {
	for _, m := range set.GetMembers() {
		if f.lost[m.GetId()] {
			return m.GetId()
		}
	}
	return 0
}

// repair replaces a voter whose disk was lost by any learner that has caught up.
func (f *faults) repair(l *simMember) {
	set := l.node.members.current()
	old := f.lostVoter(set)
	for _, m := range set.GetMembers() {
		if old != 0 && !isVoter(set, m.GetId()) && !f.lost[m.GetId()] {
			_ = f.change(l, changeOf(replaceType, m.GetId(), old))
		}
	}
}

func (f *faults) partition(mask uint64) {
	f.blocked = func(from, to uint64) bool { return (mask>>(from%64))&1 != (mask>>(to%64))&1 }
}

func (f *faults) heal() {
	f.loss, f.dup, f.maxDelay = 0, 0, tickUnits/10
	unblock(f.sim)
	for _, id := range f.order {
		f.members[id].crashAt = 0
		f.thaw(f.members[id])
		f.restart(f.members[id])
	}
}

// mustConverge guards against a group that stops: after the faults end it must
// commit again and bring every member to the same state.
func (f *faults) mustConverge() {
	f.run(100)
	l := f.mustLead()
	if err := f.propose(l); err != nil {
		f.t.Fatalf("propose after the faults: %v", err)
	}
	f.run(100)
	l = f.mustLead()
	for _, mm := range l.node.members.current().GetMembers() {
		m := f.members[mm.GetId()]
		if f.lost[m.id] {
			continue
		}
		if m.node.log.applied != l.node.log.applied || m.digest != l.digest {
			f.t.Fatalf("member %d applied %d, leader %d applied %d", m.id, m.node.log.applied, l.id, l.node.log.applied)
		}
	}
}
