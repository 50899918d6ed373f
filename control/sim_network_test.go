package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"pistachiomount.example/pistachiomount/apipb"
)

// oneWay is the delay between two control daemons, as between regions.
const oneWay = 55 * time.Millisecond

// simNetwork delivers messages between the daemons of a simCluster. A cut link is silent:
// messages are lost without an error.
type simNetwork struct {
	cluster *simCluster
	ctx     context.Context

	mu    sync.Mutex
	rng   *rand.Rand
	cut   map[[2]string]bool // from, to
	queue map[[2]string]chan delayedBatch
	// drop is the share of lost batches. duplicate is the share of batches that are
	// delivered a second time after a random delay.
	drop, duplicate float64
	batches, bytes  map[string]int // by sender
	// bandwidth is what each connection passes, in bytes per second; 0 if it is not simulated.
	bandwidth int
}

type delayedBatch struct {
	due  time.Time
	data []byte
}

func newSimNetwork(ctx context.Context, b *simCluster, seed uint64) *simNetwork {
	return &simNetwork{
		cluster: b, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{},
		queue: map[[2]string]chan delayedBatch{}, batches: map[string]int{}, bytes: map[string]int{},
	}
}

// setIsolated cuts or restores all links of the daemon in both directions.
func (n *simNetwork) setIsolated(name string, cut bool) {
	for _, other := range n.cluster.nodes {
		n.setCut(name, other.name, cut)
		n.setCut(other.name, name, cut)
	}
}

// setCut cuts or restores the link in one direction.
func (n *simNetwork) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// setLoss sets the shares of lost and duplicated batches.
func (n *simNetwork) setLoss(drop, duplicate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.duplicate = drop, duplicate
}

func (n *simNetwork) connected(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

func (n *simNetwork) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.batches)
	clear(n.bytes)
}

// sentBy returns the batches and bytes that the daemon sent since the last reset.
func (n *simNetwork) sentBy(name string) (batches, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.batches[name], n.bytes[name]
}

// send counts the batch and delivers, drops or duplicates it.
func (n *simNetwork) send(from *apipb.Member, to string, messages []*apipb.ConsensusMessage) {
	data, err := proto.Marshal(&apipb.MessageBatch{ClusterId: simClusterID, Messages: messages, Sender: from})
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.batches[from.RpcAddress]++
	n.bytes[from.RpcAddress] += len(data)
	if n.cut[[2]string{from.RpcAddress, to}] || n.rng.Float64() < n.drop {
		return
	}
	batch := delayedBatch{time.Now().Add(oneWay), data}
	select {
	case n.queueFor(from.RpcAddress, to) <- batch:
	default:
	}
	if n.rng.Float64() < n.duplicate {
		late := time.Duration(n.rng.Int64N(int64(time.Second)))
		go func() { n.deliver(to, delayedBatch{batch.due.Add(late), data}) }()
	}
}

// queueFor returns the ordered queue from one daemon to another. The caller holds n.mu.
func (n *simNetwork) queueFor(from, to string) chan delayedBatch {
	key := [2]string{from, to}
	if q, ok := n.queue[key]; ok {
		return q
	}
	q := make(chan delayedBatch, sendQueueSize)
	n.queue[key] = q
	go func() {
		for {
			select {
			case p := <-q:
				n.deliver(to, p)
			case <-n.ctx.Done():
				return
			}
		}
	}()
	return q
}

func (n *simNetwork) deliver(to string, p delayedBatch) {
	if !sleepFor(n.ctx, time.Until(p.due)) {
		return
	}
	batch := &apipb.MessageBatch{}
	if err := proto.Unmarshal(p.data, batch); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	if d, err := n.cluster.daemon(to); err == nil {
		_, _ = (&consensusService{daemon: d}).Deliver(ctx, batch)
	}
}

// transfer delivers a batch in a call over a connection with a bandwidth.
func (n *simNetwork) transfer(ctx context.Context, from, to string, batch *apipb.MessageBatch) error {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err)
	}
	if !sleepFor(ctx, time.Duration(len(data))*time.Second/time.Duration(n.bandwidth)) {
		return ctx.Err()
	}
	return n.call(ctx, from, to, func(ctx context.Context) error {
		copied := &apipb.MessageBatch{}
		if err := proto.Unmarshal(data, copied); err != nil {
			panic(err)
		}
		d, err := n.cluster.daemon(to)
		if err != nil {
			return err
		}
		_, err = (&consensusService{daemon: d}).Deliver(ctx, copied)
		return err
	})
}

// call makes one call between two daemons. On a cut link it blocks until the context ends.
func (n *simNetwork) call(ctx context.Context, from, to string, serve func(context.Context) error) error {
	for _, leg := range [][2]string{{from, to}, {to, from}} {
		if !n.connected(leg[0], leg[1]) {
			<-ctx.Done()
			return ctx.Err()
		}
		if !sleepFor(ctx, oneWay) {
			return ctx.Err()
		}
		if leg[0] == from {
			if err := serve(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// simForwarding forwards commands to the leader over the simulated network.
type simForwarding struct {
	net      *simNetwork
	from, to string
}

func (f *simForwarding) DRPCConn() drpc.Conn { return nil }

func (f *simForwarding) Propose(ctx context.Context, request *apipb.ProposeRequest) (*apipb.ProposeReply, error) {
	var reply *apipb.ProposeReply
	err := f.net.call(ctx, f.from, f.to, func(ctx context.Context) (err error) {
		d, err := f.net.cluster.daemon(f.to)
		if err != nil {
			return err
		}
		reply, err = (&consensusService{daemon: d}).Propose(ctx, request)
		return err
	})
	return reply, err
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
