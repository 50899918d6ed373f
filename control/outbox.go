package control

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

// outboxSize bounds the batches that wait for one member. A member that takes
// nothing for so long is cut off, and the protocol sends again what it missed.
const outboxSize = 64

// gatherBytes is the size at which a call takes no further batch.
const gatherBytes = 1 << 20

// Outboxes sends consensus messages, with one worker for each address, so that
// one silent member holds up no other.
type Outboxes struct {
	clusterID uint64
	self      *apipb.Member
	peers     *transport.Peers
	log       logrus.FieldLogger
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	boxes map[string]chan []*apipb.ConsensusMessage
	wg    sync.WaitGroup
}

// NewOutboxes returns a sender for messages of the cluster.
func NewOutboxes(clusterID uint64, self *apipb.Member, peers *transport.Peers, log logrus.FieldLogger) *Outboxes {
	ctx, cancel := context.WithCancel(context.Background())
	return &Outboxes{
		clusterID: clusterID, self: self, peers: peers, log: log, ctx: ctx, cancel: cancel,
		boxes: map[string]chan []*apipb.ConsensusMessage{},
	}
}

// Send queues the messages, or drops them if the queue is full.
func (o *Outboxes) Send(to *apipb.Member, messages []*apipb.ConsensusMessage) {
	select {
	case o.box(to.RpcAddress) <- messages:
	default:
	}
}

// Close stops all workers.
func (o *Outboxes) Close() {
	o.cancel()
	o.wg.Wait()
}

func (o *Outboxes) box(address string) chan []*apipb.ConsensusMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if box, ok := o.boxes[address]; ok {
		return box
	}
	box := make(chan []*apipb.ConsensusMessage, outboxSize)
	o.boxes[address] = box
	o.wg.Go(func() { o.work(address, box) })
	return box
}

func (o *Outboxes) work(address string, box chan []*apipb.ConsensusMessage) {
	failing := false
	for {
		select {
		case <-o.ctx.Done():
			return
		case messages := <-box:
			err := o.deliver(address, gather(messages, box))
			if err != nil && !failing && o.ctx.Err() == nil {
				o.log.WithError(err).WithField("peer", address).Warn("control daemon unreachable")
			}
			if err == nil && failing {
				o.log.WithField("peer", address).Info("control daemon reachable again")
			}
			failing = err != nil
		}
	}
}

// gather joins what waits already into one call, which stays below the largest
// transport message even if the last batch holds a whole document.
func gather(messages []*apipb.ConsensusMessage, box chan []*apipb.ConsensusMessage) []*apipb.ConsensusMessage {
	for size(messages) < gatherBytes {
		select {
		case more := <-box:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
	return messages
}

func size(messages []*apipb.ConsensusMessage) int {
	total := 0
	for _, m := range messages {
		total += proto.Size(m)
	}
	return total
}

func (o *Outboxes) deliver(address string, messages []*apipb.ConsensusMessage) error {
	client, err := o.peers.Get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerTimeout)
	defer cancel()
	_, err = apipb.NewDRPCConsensusClient(client).Deliver(ctx, &apipb.MessageBatch{
		ClusterId: o.clusterID, Messages: messages, Sender: o.self,
	})
	return err
}
