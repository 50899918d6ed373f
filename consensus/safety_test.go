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
	simulatedRuns = "30"
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
		for _, action := range rapid.SliceOfN(rapid.SampledFrom(faultActions), 60, 150).Draw(rt, "actions") {
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

var faultActions = []string{
	"propose", "propose", "propose", "read", "read", "read-all", "loss", "calm", "delay", "partition", "isolate-leader",
	"heal-network", "freeze", "freeze-leader", "thaw", "crash", "crash-unsynced", "crash-unsent", "restart", "restart", "compact",
	"transfer", "add", "promote", "remove", "replace", "lose-disk", "lose-disk", "repair", "repair", "campaign",
}

type faults struct{ *sim }

func (f *faults) any() *simMember { return f.members[f.order[f.rng.IntN(len(f.order))]] }

func (f *faults) act(name string) {
	m, l := f.any(), f.leader()
	alive := m.node != nil && !m.frozen
	switch name {
	case "loss":
		f.loss, f.dup = 0.3*f.rng.Float64(), 0.2
	case "calm":
		f.loss, f.dup, f.maxDelay = 0, 0, tickUnits/10
	case "delay":
		f.maxDelay = tickUnits * (1 + f.rng.Int64N(15))
	case "partition":
		f.partition(f.rng.Uint64())
	case "isolate-leader":
		if l != nil {
			f.blocked = func(from, to uint64) bool { return from == l.id || to == l.id }
		}
	case "heal-network":
		f.blocked = func(uint64, uint64) bool { return false }
	case "restart":
		if m.node == nil && !f.lost[m.id] {
			f.start(m)
		}
	case "thaw":
		f.thaw(m)
	case "read-all":
		for _, id := range f.order {
			if x := f.members[id]; x.node != nil && !x.frozen {
				f.read(x)
			}
		}
	default:
		if alive {
			f.actOn(name, m, l)
		}
	}
}

func (f *faults) actOn(name string, m, l *simMember) {
	switch name {
	case "propose":
		if l != nil && f.rng.IntN(4) > 0 {
			m = l
		}
		_ = f.propose(m)
	case "read":
		f.read(m)
	case "freeze":
		m.frozen = true
	case "freeze-leader":
		if l != nil {
			l.frozen = true
		}
	case "crash":
		f.crash(m)
	case "crash-unsynced":
		m.crashAt = 1
	case "crash-unsent":
		m.crashAt = 2
	case "compact":
		f.compact(m)
	case "campaign":
		m.node.CampaignNow()
		f.work(m)
	default:
		if l != nil {
			f.lead(name, l, m)
		}
	}
}

func (f *faults) lead(name string, l, m *simMember) {
	target := &apipb.Member{Id: m.id}
	switch name {
	case "transfer":
		_ = l.node.TransferLeadership(m.id)
		f.work(l)
	case "add":
		if len(f.order) < 8 {
			f.join(l)
		}
	case "promote":
		_ = f.change(l, &apipb.MemberChange{Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_PROMOTE, Member: target})
	case "remove":
		if len(voterIDs(l.node.members.current())) > 3 {
			_ = f.change(l, &apipb.MemberChange{Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REMOVE, Member: target})
		}
	case "replace":
		_ = f.change(l, &apipb.MemberChange{
			Type:   apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE,
			Member: target, ReplacesId: f.any().id,
		})
	case "lose-disk":
		f.loseDisk(l, m)
	case "repair":
		f.repair(l)
	}
}

func (f *faults) join(l *simMember) {
	f.nextID++
	m := f.addMember(f.nextID, Persisted{})
	_ = f.change(l, &apipb.MemberChange{
		Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_ADD_LEARNER, Member: &apipb.Member{Id: m.id},
	})
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
	m.disk = Persisted{}
	f.join(l)
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
			_ = f.change(l, &apipb.MemberChange{
				Type:   apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE,
				Member: &apipb.Member{Id: m.GetId()}, ReplacesId: old,
			})
		}
	}
}

func (f *faults) partition(mask uint64) {
	f.blocked = func(from, to uint64) bool { return (mask>>(from%64))&1 != (mask>>(to%64))&1 }
}

func (f *faults) heal() {
	f.loss, f.dup, f.maxDelay = 0, 0, tickUnits/10
	f.blocked = func(uint64, uint64) bool { return false }
	for _, id := range f.order {
		m := f.members[id]
		m.crashAt = 0
		if m.frozen {
			f.thaw(m)
		}
		if m.node == nil && !f.lost[id] {
			f.start(m)
		}
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
