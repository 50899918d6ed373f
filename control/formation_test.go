package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/transport"
)

// newDaemonWithPeers returns a daemon with the given peers that does not run yet.
func newDaemonWithPeers(t *testing.T, name string, rpc net.Listener, peers []string, form bool) *Daemon {
	t.Helper()
	d, err := New(Config{
		Name: name, DataDir: t.TempDir(), Peers: peers, RPCListener: rpc, HTTPListener: listen(t),
		Security: &transport.Security{Insecure: true}, Clock: clock.NewSystemWithoutWall(), Log: discardLog(),
		FormCluster: form, MinVoters: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// knownVoters returns the ids of the voters by name, as the daemon knows them.
func knownVoters(d *Daemon) map[string]uint64 {
	engine, err := d.currentEngine()
	if err != nil {
		return nil
	}
	voters := map[string]uint64{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = engine.do(ctx, func() { // without an answer the map stays empty
		for _, m := range engine.node.Status().Members.GetMembers() {
			if m.Voter && len(engine.node.Status().Members.GetOutgoingVoters()) == 0 {
				voters[m.Name] = m.Id
			}
		}
	})
	return voters
}

// awaitLeadership waits until the daemon leads with a valid lease.
func awaitLeadership(t *testing.T, d *Daemon) {
	t.Helper()
	engine, err := d.currentEngine()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l, err := engine.leadership(t.Context(), apipb.Environment_ENVIRONMENT_PLAN, ""); err == nil && l.valid {
			return
		}
	}
	t.Fatal("the daemon does not lead")
}

// Guards against a second group when a daemon with FormCluster set starts with an empty
// disk beside an existing group.
func TestFormingDaemonJoinsExistingGroup(t *testing.T) {
	is := is.New(t)
	listeners := []net.Listener{listen(t), listen(t)}
	peers := []string{addressOf(listeners[0]), addressOf(listeners[1])}
	first := newDaemonWithPeers(t, "c0", listeners[0], peers, true)
	defer runDaemon(t, first)()
	awaitVoters(t, first, 1)
	second := newDaemonWithPeers(t, "c1", listeners[1], peers, true)
	defer runDaemon(t, second)()
	awaitVoters(t, second, 2)
	is.Equal(second.clusterID(), first.clusterID())
}

func awaitVoters(t *testing.T, d *Daemon, n int) map[string]uint64 {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if voters := knownVoters(d); len(voters) == n {
			return voters
		}
	}
	t.Fatalf("voters %v, expected %d", knownVoters(d), n)
	return nil
}

// Guards against two groups, or none, when all daemons start at the same time in any
// order with three configured peers, one of which may be unreachable.
func TestDaemonsFormOneGroupFromTheirPeers(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 3))
			listeners := make([]net.Listener, 5)
			for i := range listeners {
				listeners[i] = listen(t)
			}
			peers := []string{addressOf(listeners[0]), addressOf(listeners[1]), addressOf(listeners[2])}
			missing := -1
			if seed > 0 {
				missing = 1 + rng.IntN(2)
				is.NoErr(listeners[missing].Close())
			}
			var daemons []*Daemon
			for _, i := range rng.Perm(5) {
				if i == missing {
					continue
				}
				d := newDaemonWithPeers(t, fmt.Sprint("c", i), listeners[i], peers, i == 0)
				daemons = append(daemons, d)
				defer runDaemon(t, d)()
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
			ids := map[uint64]bool{}
			for _, d := range daemons {
				awaitVoters(t, d, len(daemons))
				ids[d.clusterID()] = true
			}
			is.Equal(len(ids), 1)
		})
	}
}

// Guards against a plan that is accepted while the loss of one disk could lose it, and
// against a daemon with an empty disk that forms its own group or does not rejoin.
func TestWipedMemberRejoinsGroup(t *testing.T) {
	is := is.New(t)
	listeners := []net.Listener{listen(t), listen(t), listen(t)}
	var peers []string
	for _, l := range listeners {
		peers = append(peers, addressOf(l))
	}
	first := newDaemonWithPeers(t, "c0", listeners[0], peers, true)
	defer runDaemon(t, first)()
	awaitVoters(t, first, 1)
	awaitLeadership(t, first)
	_, err := first.SubmitPlan(t.Context(), &plan.Plan{Number: 1}, []byte("a"))
	is.True(errors.Is(err, ErrTooFewVoters)) // only one voter
	second := newDaemonWithPeers(t, "c1", listeners[1], peers, false)
	defer runDaemon(t, second)()
	third := newDaemonWithPeers(t, "c2", listeners[2], peers, false)
	stop := runDaemon(t, third)
	before := awaitVoters(t, first, 3)
	result, err := first.SubmitPlan(t.Context(), &plan.Plan{Number: 1}, []byte("a"))
	is.NoErr(err)
	is.Equal(result.Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	stop()

	rebound, err := net.Listen("tcp", peers[2])
	is.NoErr(err)
	wiped := newDaemonWithPeers(t, "c2", rebound, peers, false)
	defer runDaemon(t, wiped)()
	for end := time.Now().Add(waitLimit); knownVoters(first)["c2"] == before["c2"]; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	awaitVoters(t, wiped, 3)
	read, err := wiped.ReadPlan(t.Context())
	is.NoErr(err)
	is.Equal(string(read.Source), "a")
}

// Guards against a VM that was removed for good and counts against the majority forever,
// while a new one at another address waits to replace it.
func TestLearnerReplacesSilentVoterOfFullGroup(t *testing.T) {
	is := is.New(t)
	members := &apipb.MemberSet{}
	for i := range uint64(MaxVoters) {
		members.Members = append(members.Members, &apipb.Member{Id: i + 1, Name: fmt.Sprint("c", i), Voter: true})
	}
	learner := &apipb.Member{Id: 9, Name: "new"}
	is.Equal(promotionFor(learner, members, func(*apipb.Member) bool { return false }), nil)
	change := promotionFor(learner, members, func(m *apipb.Member) bool { return m.Id == 3 })
	is.Equal(change.Type, apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE)
	is.Equal(change.ReplacesId, uint64(3))
}
