package control

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

const (
	simClusterID  = 77
	operatorToken = "token-of-ana"
	trial         = apipb.Environment_ENVIRONMENT_TRIAL
)

var tokenDigest = func() string {
	sum := sha256.Sum256([]byte(operatorToken))
	return hex.EncodeToString(sum[:])
}()

// simCluster runs several control daemons in one synctest bubble. Time is virtual, so no
// test depends on the speed of the machine.
type simCluster struct {
	t      testing.TB
	ctx    context.Context
	seed   uint64
	starts uint64
	log    *logrus.Logger
	net    *simNetwork
	nodes  []*simNode
	byName sync.Map // the same nodes by name, for the network's goroutines
}

// simulate runs the function on a cluster whose group of voters is formed.
func simulate(t *testing.T, voters int, f func(b *simCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { simulateWith(t, 1, voters, f) })
}

// simulateWith is simulate with a seed. It must be called in a synctest bubble.
func simulateWith(t testing.TB, seed uint64, voters int, f func(b *simCluster)) {
	simulateLinks(t, seed, voters, 0, f)
}

// simulateLinks is simulateWith on links that pass bandwidth bytes per second, or any number if it is 0.
func simulateLinks(t testing.TB, seed uint64, voters, bandwidth int, f func(b *simCluster)) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &simCluster{t: t, ctx: ctx, seed: seed, log: discardLog()}
	b.net = newSimNetwork(ctx, b, seed)
	b.net.bandwidth = bandwidth
	defer b.stop(cancel)
	for range voters {
		b.add()
	}
	members := make([]*apipb.Member, voters)
	for i, n := range b.nodes {
		members[i] = n.member
	}
	state, err := consensus.Bootstrap(members)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range b.nodes {
		n.storage.state = state
		n.start()
	}
	b.leader()
	f(b)
}

// add creates a node with an empty disk, which start runs.
func (b *simCluster) add() *simNode {
	id := uint64(len(b.nodes) + 1)
	name := fmt.Sprintf("control-%d", id)
	n := &simNode{cluster: b, name: name, storage: &memStorage{}, member: &apipb.Member{
		Id: id, Name: name, RpcAddress: name, HttpAddress: name,
	}}
	b.nodes = append(b.nodes, n)
	b.byName.Store(name, n)
	return n
}

// replace creates a node for the VM of another one whose disk was lost.
func (b *simCluster) replace(old *simNode) *simNode {
	n := b.add()
	n.member.Name = old.member.Name
	return n
}

// requestJoin asks every running daemon once to add the node to the group.
func (b *simCluster) requestJoin(n *simNode) bool {
	for _, other := range b.others(n) {
		if other.engine() == nil {
			continue
		}
		if reply, err := other.engine().Join(b.ctx, n.member); err == nil && reply.Accepted {
			return true
		}
	}
	return false
}

// join starts the node once the group has accepted it.
func (b *simCluster) join(n *simNode) {
	b.t.Helper()
	b.eventually(n.name+" joined", func() bool { return b.requestJoin(n) })
	n.start()
}

func (b *simCluster) stop(cancel func()) {
	cancel()
	for _, n := range b.nodes {
		if n.engine() != nil {
			<-n.engine().done
		}
		n.closeSender()
	}
}

// daemon returns the daemon at the address, or an error as if the connection were refused.
func (b *simCluster) daemon(address string) (*Daemon, error) {
	if n, ok := b.byName.Load(address); ok {
		if d := n.(*simNode).daemon.Load(); d != nil {
			return d, nil
		}
	}
	return nil, errors.Errorf("no daemon at %s", address)
}

// eventually waits in virtual time until the condition holds.
func (b *simCluster) eventually(what string, condition func() bool) {
	b.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.t.Fatalf("not reached within a minute of virtual time: %s", what)
}

// leader waits for a daemon that leads with a valid lease. It ignores the given nodes.
func (b *simCluster) leader(except ...*simNode) *simNode {
	b.t.Helper()
	var found *simNode
	b.eventually("a leader", func() bool {
		for _, n := range b.nodes {
			if n.engine() == nil || contains(except, n) {
				continue
			}
			if s := n.status(); s.Role == consensus.RoleLeader && s.LeaseValid && s.TermCommitted {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// others returns all nodes except the given ones.
func (b *simCluster) others(except ...*simNode) []*simNode {
	var rest []*simNode
	for _, n := range b.nodes {
		if !contains(except, n) {
			rest = append(rest, n)
		}
	}
	return rest
}

func contains(nodes []*simNode, n *simNode) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// exampleDocument is a document of the size in use.
var exampleDocument = func() []byte {
	raw, err := os.ReadFile("../examples/bancas.yaml")
	if err != nil {
		panic(err)
	}
	return raw
}()

// documentOf returns the example document with the number. The variant changes a cap.
func documentOf(number uint64, variant int) []byte {
	raw := bytes.Replace(exampleDocument, []byte("\nnumber: 1\n"), fmt.Appendf(nil, "\nnumber: %d\n", number), 1)
	return bytes.Replace(raw, []byte("points_per_second: 5\n"), fmt.Appendf(nil, "points_per_second: %d\n", 1+variant%50), 1)
}

// Guards against errors in simCluster that other tests would not notice: a document
// passes the whole path from submission to watchers.
func TestDocumentReachesEveryDaemon(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		report := b.nodes[0].mustSubmit("trial", documentOf(1, 0))
		for _, n := range b.nodes {
			w := &watcher{node: n}
			b.eventually("the document at "+n.name, func() bool { return w.poll() == nil && w.revision == report.Revision })
			if !bytes.Equal(w.raw, documentOf(1, 0)) {
				t.Errorf("%s: wrong document", n.name)
			}
		}
	})
}
