package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

const (
	// sendQueueSize is the number of batches that may wait for one member. Further
	// batches are dropped, and the protocol repeats what the member missed.
	sendQueueSize = 64
	// mergeLimitBytes is the size at which no further batch is merged into a call.
	mergeLimitBytes = 256 << 10
	// minSendRate is the slowest transfer to a member that is waited for, in bytes per second. A
	// call takes peerTimeout and the time of its messages at this rate at most.
	minSendRate = 128 << 10
)

// PeerSender sends consensus messages with two goroutines for each address: one for
// log entries and snapshots, in their order, and one for all others, so that neither an
// unreachable member nor a long message delays votes and heartbeats.
type PeerSender struct {
	cfg    PeerSenderConfig
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	queues map[queueKey]chan []*apipb.ConsensusMessage
	wg     sync.WaitGroup
}

// PeerSenderConfig configures a PeerSender.
type PeerSenderConfig struct {
	ClusterID uint64
	Self      *apipb.Member
	// Deliver passes a batch to the member at an address.
	Deliver func(ctx context.Context, address string, batch *apipb.MessageBatch) error
	// Failed is called for each entry or snapshot message that was not delivered.
	Failed func(ctx context.Context, message *apipb.ConsensusMessage)
	Log    logrus.FieldLogger
}

// queueKey identifies a queue: bulk ones hold log entries and snapshots.
type queueKey struct {
	address string
	bulk    bool
}

// NewPeerSender returns a sender for messages of the cluster.
func NewPeerSender(cfg PeerSenderConfig) *PeerSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerSender{cfg: cfg, ctx: ctx, cancel: cancel, queues: map[queueKey]chan []*apipb.ConsensusMessage{}}
}

// Send queues the messages, or drops them if the queue is full.
func (o *PeerSender) Send(to *apipb.Member, messages []*apipb.ConsensusMessage) {
	var bulk, short []*apipb.ConsensusMessage
	for _, m := range messages {
		if isBulk(m) {
			bulk = append(bulk, m)
		} else {
			short = append(short, m)
		}
	}
	o.enqueue(queueKey{to.RpcAddress, false}, short)
	o.enqueue(queueKey{to.RpcAddress, true}, bulk)
}

// isBulk reports whether a message may be long. All appends count, so that they keep their order.
func isBulk(m *apipb.ConsensusMessage) bool {
	return m.Type == apipb.MessageType_MESSAGE_TYPE_APPEND || m.Type == apipb.MessageType_MESSAGE_TYPE_SNAPSHOT
}

func (o *PeerSender) enqueue(key queueKey, messages []*apipb.ConsensusMessage) {
	if len(messages) == 0 {
		return
	}
	select {
	case o.queueFor(key) <- messages:
	default:
	}
}

// Close stops all send loops and waits for them.
func (o *PeerSender) Close() {
	o.cancel()
	o.wg.Wait()
}

func (o *PeerSender) queueFor(key queueKey) chan []*apipb.ConsensusMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if queue, ok := o.queues[key]; ok {
		return queue
	}
	queue := make(chan []*apipb.ConsensusMessage, sendQueueSize)
	o.queues[key] = queue
	o.wg.Go(func() { o.sendLoop(key, queue) })
	return queue
}

func (o *PeerSender) sendLoop(key queueKey, queue chan []*apipb.ConsensusMessage) {
	failing := false
	log := o.cfg.Log.WithFields(logrus.Fields{"peer": key.address, "entries": key.bulk})
	for {
		select {
		case <-o.ctx.Done():
			return
		case messages := <-queue:
			messages = mergeQueued(messages, queue)
			err := o.deliver(key.address, messages)
			if err != nil && !failing && o.ctx.Err() == nil {
				log.WithError(err).WithField("bytes", totalSize(messages)).Warn("control daemon unreachable")
			}
			if err == nil && failing {
				log.Info("control daemon reachable again")
			}
			failing = err != nil
			if failing && key.bulk {
				o.reportFailure(messages)
			}
		}
	}
}

// reportFailure reports the messages of a failed call, so that they are sent again without waiting for the
// time that they may take.
func (o *PeerSender) reportFailure(messages []*apipb.ConsensusMessage) {
	for _, m := range messages {
		o.cfg.Failed(o.ctx, m)
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
	ctx, cancel := context.WithTimeout(o.ctx, sendTimeout(totalSize(messages)))
	defer cancel()
	return o.cfg.Deliver(ctx, address, &apipb.MessageBatch{ClusterId: o.cfg.ClusterID, Messages: messages, Sender: o.cfg.Self})
}

// sendTimeout bounds a call with messages of the given size.
func sendTimeout(bytes int) time.Duration {
	return peerTimeout + time.Duration(bytes)*time.Second/minSendRate
}

// deliverTo returns a function that delivers batches with RPCs.
func deliverTo(peers *transport.Peers) func(ctx context.Context, address string, batch *apipb.MessageBatch) error {
	return func(ctx context.Context, address string, batch *apipb.MessageBatch) error {
		client, err := peers.Get(address)
		if err != nil {
			return err
		}
		_, err = apipb.NewDRPCConsensusClient(client).Deliver(ctx, batch)
		return err
	}
}
