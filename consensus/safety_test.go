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
	// runsPerShard keeps the package's tests within 20 s under the race detector.
	runsPerShard = "40"
	// safetyShards is the number of parallel shards.
	safetyShards = 4
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", runsPerShard)
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
		f := &faultInjector{sim: s}
		for _, action := range rapid.SliceOfN(rapid.IntRange(0, len(faultActions)-1), 60, 150).Draw(rt, "actions") {
			f.perform(action)
			s.run(rapid.SampledFrom([]int{0, 1, 3, 10, 30}).Draw(rt, "ticks"))
		}
		f.heal()
		f.requireConvergence()
		reads, leases, commits = reads+s.checks.readsAnswered, leases+s.checks.leaseObservations, commits+s.checks.maxCommit
	})
	if reads == 0 || leases == 0 || commits == 0 {
		t.Fatalf("the runs must observe reads, leases and commits: got %d reads, %d leases, %d commits", reads, leases, commits)
	}
	t.Logf("%d reads, %d lease observations, %d commits", reads, leases, commits)
}

// faultAction is one step of a run. Unless it is unconditional, it is skipped if the
// random member m is not running or there is no leader l.
type faultAction struct {
	name          string
	unconditional bool
	run           func(f *faultInjector, m, l *simMember)
}

var faultActions = []faultAction{
	{"propose", false, func(f *faultInjector, _, l *simMember) { _ = f.propose(l) }},
	{"propose more", false, func(f *faultInjector, _, l *simMember) { _, _ = f.propose(l), f.propose(l) }},
	{"propose anywhere", false, func(f *faultInjector, m, _ *simMember) { _ = f.propose(m) }},
	{"read", false, func(f *faultInjector, m, _ *simMember) { f.read(m) }},
	{"read everywhere", true, func(f *faultInjector, _, _ *simMember) { f.forEachLive(f.read) }},
	{"loss", true, func(f *faultInjector, _, _ *simMember) { f.lossRate, f.dupRate = 0.3*f.rng.Float64(), 0.2 }},
	{"calm", true, func(f *faultInjector, _, _ *simMember) { f.lossRate, f.dupRate, f.maxDelay = 0, 0, tickUnits/10 }},
	{"delay", true, func(f *faultInjector, _, _ *simMember) { f.maxDelay = tickUnits * (1 + f.rng.Int64N(15)) }},
	{"partition", true, func(f *faultInjector, _, _ *simMember) { f.partition(f.rng.Uint64()) }},
	{"isolate leader", false, func(f *faultInjector, _, l *simMember) { isolate(f.sim, l.id) }},
	{"heal network", true, func(f *faultInjector, _, _ *simMember) { unblock(f.sim) }},
	{"freeze", false, func(_ *faultInjector, m, _ *simMember) { m.frozen = true }},
	{"freeze leader", false, func(_ *faultInjector, _, l *simMember) { l.frozen = true }},
	{"thaw", true, func(f *faultInjector, m, _ *simMember) { f.thaw(m) }},
	{"crash", false, func(f *faultInjector, m, _ *simMember) { f.crash(m) }},
	{"crash unsynced", false, func(_ *faultInjector, m, _ *simMember) { m.crashAt = 1 }},
	{"crash unsent", false, func(_ *faultInjector, m, _ *simMember) { m.crashAt = 2 }},
	{"restart", true, func(f *faultInjector, m, _ *simMember) { f.restart(m) }},
	{"restart another", true, func(f *faultInjector, m, _ *simMember) { f.restart(m) }},
	{"compact", false, func(f *faultInjector, m, _ *simMember) { f.compact(m) }},
	{"campaign", false, func(f *faultInjector, m, _ *simMember) { m.node.CampaignNow(); f.processReady(m) }},
	{"transfer", false, func(f *faultInjector, m, l *simMember) { _ = l.node.TransferLeadership(m.id); f.processReady(l) }},
	{"add", false, func(f *faultInjector, _, l *simMember) { f.addLearner(l, 8) }},
	{"promote", false, func(f *faultInjector, m, l *simMember) {
		_ = f.proposeMemberChange(l, memberChange(promoteType, m.id, 0))
	}},
	{"remove", false, func(f *faultInjector, m, l *simMember) { f.remove(l, m) }},
	{"replace", false, func(f *faultInjector, m, l *simMember) {
		_ = f.proposeMemberChange(l, memberChange(replaceType, m.id, f.randomMember().id))
	}},
	{"lose disk", false, func(f *faultInjector, m, l *simMember) { f.loseDisk(l, m) }},
	{"lose another disk", false, func(f *faultInjector, m, l *simMember) { f.loseDisk(l, m) }},
	{"repair", false, func(f *faultInjector, _, l *simMember) { f.repair(l) }},
	{"repair again", false, func(f *faultInjector, _, l *simMember) { f.repair(l) }},
}

type faultInjector struct{ *sim }

func (f *faultInjector) randomMember() *simMember {
	return f.members[f.order[f.rng.IntN(len(f.order))]]
}

func (f *faultInjector) forEachLive(do func(*simMember)) {
	for _, id := range f.order {
		if m := f.members[id]; m.node != nil && !m.frozen {
			do(m)
		}
	}
}

func (f *faultInjector) perform(i int) {
	m, l := f.randomMember(), f.leader()
	if a := faultActions[i]; a.unconditional || (m.node != nil && !m.frozen && l != nil) {
		a.run(f, m, l)
	}
}

func (f *faultInjector) restart(m *simMember) {
	if m.node == nil && !f.lostDisks[m.id] {
		f.start(m)
	}
}

func (f *faultInjector) remove(l, m *simMember) {
	if len(voterIDs(l.node.members.current())) > 3 {
		_ = f.proposeMemberChange(l, memberChange(removeType, m.id, 0))
	}
}

func (f *faultInjector) addLearner(l *simMember, limit int) {
	if len(f.order) < limit {
		f.nextID++
		f.addMember(f.nextID, PersistentState{})
		_ = f.proposeMemberChange(l, memberChange(addType, f.nextID, 0))
	}
}

// loseDisk deletes the persistent state of a voter. At most one voter is lost at a
// time: a second loss before the repair could destroy the only copy of a committed
// entry.
func (f *faultInjector) loseDisk(l, m *simMember) {
	rec := l.node.members.last()
	if !l.node.termCommitted() || rec.index > l.node.log.committed || isJoint(rec.set) || len(voterIDs(rec.set)) < 3 ||
		!isVoter(rec.set, m.id) || f.lostVoter(rec.set) != 0 {
		return
	}
	f.lostDisks[m.id] = true
	f.crash(m)
	m.disk = PersistentState{}
	f.addLearner(l, 100)
}

func (f *faultInjector) lostVoter(set *apipb.MemberSet) uint64 {
	for _, m := range set.GetMembers() {
		if f.lostDisks[m.GetId()] {
			return m.GetId()
		}
	}
	return 0
}

// repair replaces a voter whose disk was lost by any learner that has caught up.
func (f *faultInjector) repair(l *simMember) {
	set := l.node.members.current()
	old := f.lostVoter(set)
	for _, m := range set.GetMembers() {
		if old != 0 && !isVoter(set, m.GetId()) && !f.lostDisks[m.GetId()] {
			_ = f.proposeMemberChange(l, memberChange(replaceType, m.GetId(), old))
		}
	}
}

func (f *faultInjector) partition(mask uint64) {
	f.blocked = func(from, to uint64) bool { return (mask>>(from%64))&1 != (mask>>(to%64))&1 }
}

func (f *faultInjector) heal() {
	f.lossRate, f.dupRate, f.maxDelay = 0, 0, tickUnits/10
	unblock(f.sim)
	for _, id := range f.order {
		f.members[id].crashAt = 0
		f.thaw(f.members[id])
		f.restart(f.members[id])
	}
}

// requireConvergence fails the test unless, after all faults have ended, the group
// commits again and every member reaches the same state.
func (f *faultInjector) requireConvergence() {
	f.run(100)
	l := f.waitForLeader()
	if err := f.propose(l); err != nil {
		f.t.Fatalf("propose after the faults: %v", err)
	}
	f.run(100)
	l = f.waitForLeader()
	for _, mm := range l.node.members.current().GetMembers() {
		m := f.members[mm.GetId()]
		if f.lostDisks[m.id] {
			continue
		}
		if m.node.log.applied != l.node.log.applied || m.digest != l.digest {
			f.t.Fatalf("member %d applied %d, leader %d applied %d", m.id, m.node.log.applied, l.id, l.node.log.applied)
		}
	}
}
