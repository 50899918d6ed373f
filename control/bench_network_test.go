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

// oneWay is the delay between two control daemons, that between regions.
const oneWay = 55 * time.Millisecond

// benchNetwork carries messages between the daemons of a bench. Cuts are silent:
// nothing arrives and no error is returned.
type benchNetwork struct {
	b   *bench
	ctx context.Context

	mu    sync.Mutex
	rng   *rand.Rand
	cut   map[[2]string]bool // from, to
	queue map[[2]string]chan parcel
	// drop and duplicate are the shares of batches lost or delivered twice, the
	// second time late.
	drop, duplicate float64
	batches, bytes  map[string]int // by sender
}

type parcel struct {
	due  time.Time
	data []byte
}

func newBenchNetwork(ctx context.Context, b *bench, seed uint64) *benchNetwork {
	return &benchNetwork{
		b: b, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{},
		queue: map[[2]string]chan parcel{}, batches: map[string]int{}, bytes: map[string]int{},
	}
}

// isolate cuts the daemon off from all others in both directions, or reconnects it.
func (n *benchNetwork) isolate(name string, cut bool) {
	for _, other := range n.b.nodes {
		n.sever(name, other.name, cut)
		n.sever(other.name, name, cut)
	}
}

// sever cuts or restores one direction.
func (n *benchNetwork) sever(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// lose sets the shares of lost and duplicated batches.
func (n *benchNetwork) lose(drop, duplicate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.duplicate = drop, duplicate
}

func (n *benchNetwork) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

func (n *benchNetwork) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.batches)
	clear(n.bytes)
}

// sentBy returns what the daemon sent since the last reset.
func (n *benchNetwork) sentBy(name string) (batches, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.batches[name], n.bytes[name]
}

// send counts the batch and decides on its fate.
func (n *benchNetwork) send(from *apipb.Member, to string, messages []*apipb.ConsensusMessage) {
	data, err := proto.Marshal(&apipb.MessageBatch{ClusterId: benchCluster, Messages: messages, Sender: from})
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
	p := parcel{time.Now().Add(oneWay), data}
	select {
	case n.line(from.RpcAddress, to) <- p:
	default:
	}
	if n.rng.Float64() < n.duplicate {
		late := time.Duration(n.rng.Int64N(int64(time.Second)))
		go func() { n.deliver(to, parcel{p.due.Add(late), data}) }()
	}
}

// line returns the ordered queue from one daemon to another. mu is held.
func (n *benchNetwork) line(from, to string) chan parcel {
	key := [2]string{from, to}
	if q, ok := n.queue[key]; ok {
		return q
	}
	q := make(chan parcel, sendQueueSize)
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

func (n *benchNetwork) deliver(to string, p parcel) {
	if !pauseFor(n.ctx, time.Until(p.due)) {
		return
	}
	batch := &apipb.MessageBatch{}
	if err := proto.Unmarshal(p.data, batch); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	if d, err := n.b.daemon(to); err == nil {
		_, _ = (&consensusService{daemon: d}).Deliver(ctx, batch)
	}
}

// call makes one call between two daemons; a cut leaves it without an answer.
func (n *benchNetwork) call(ctx context.Context, from, to string, serve func(context.Context) error) error {
	for _, leg := range [][2]string{{from, to}, {to, from}} {
		if !n.passes(leg[0], leg[1]) {
			<-ctx.Done()
			return ctx.Err()
		}
		if !pauseFor(ctx, oneWay) {
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

// benchForwarding passes commands on to the leader over the bench's network.
type benchForwarding struct {
	net      *benchNetwork
	from, to string
}

func (f *benchForwarding) DRPCConn() drpc.Conn { return nil }

func (f *benchForwarding) Propose(ctx context.Context, request *apipb.ProposeRequest) (*apipb.ProposeReply, error) {
	var reply *apipb.ProposeReply
	err := f.net.call(ctx, f.from, f.to, func(ctx context.Context) (err error) {
		d, err := f.net.b.daemon(f.to)
		if err != nil {
			return err
		}
		reply, err = (&consensusService{daemon: d}).Propose(ctx, request)
		return err
	})
	return reply, err
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
