package control

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

// sendQueueSize is the number of batches that may wait for one member. Further
// batches are dropped, and the protocol repeats what the member missed.
const sendQueueSize = 64

// mergeLimitBytes is the size at which no further batch is merged into a call.
const mergeLimitBytes = 1 << 20

// PeerSender sends consensus messages with one goroutine for each address, so that
// an unreachable member does not delay the others.
type PeerSender struct {
	clusterID uint64
	self      *apipb.Member
	peers     *transport.Peers
	log       logrus.FieldLogger
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	queues map[string]chan []*apipb.ConsensusMessage
	wg     sync.WaitGroup
}

// NewPeerSender returns a sender for messages of the cluster.
func NewPeerSender(clusterID uint64, self *apipb.Member, peers *transport.Peers, log logrus.FieldLogger) *PeerSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerSender{
		clusterID: clusterID, self: self, peers: peers, log: log, ctx: ctx, cancel: cancel,
		queues: map[string]chan []*apipb.ConsensusMessage{},
	}
}

// Send queues the messages, or drops them if the queue is full.
func (o *PeerSender) Send(to *apipb.Member, messages []*apipb.ConsensusMessage) {
	select {
	case o.queueFor(to.RpcAddress) <- messages:
	default:
	}
}

// Close stops all send loops and waits for them.
func (o *PeerSender) Close() {
	o.cancel()
	o.wg.Wait()
}

func (o *PeerSender) queueFor(address string) chan []*apipb.ConsensusMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if queue, ok := o.queues[address]; ok {
		return queue
	}
	queue := make(chan []*apipb.ConsensusMessage, sendQueueSize)
	o.queues[address] = queue
	o.wg.Go(func() { o.sendLoop(address, queue) })
	return queue
}

func (o *PeerSender) sendLoop(address string, queue chan []*apipb.ConsensusMessage) {
	failing := false
	for {
		select {
		case <-o.ctx.Done():
			return
		case messages := <-queue:
			err := o.deliver(address, mergeQueued(messages, queue))
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

// mergeQueued adds queued batches to the messages of one call. The call stays below
// the largest transport message even if the last batch holds a whole document.
func mergeQueued(messages []*apipb.ConsensusMessage, queue chan []*apipb.ConsensusMessage) []*apipb.ConsensusMessage {
	for totalSize(messages) < mergeLimitBytes {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
	return messages
}

func totalSize(messages []*apipb.ConsensusMessage) int {
	total := 0
	for _, m := range messages {
		total += proto.Size(m)
	}
	return total
}

func (o *PeerSender) deliver(address string, messages []*apipb.ConsensusMessage) error {
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
