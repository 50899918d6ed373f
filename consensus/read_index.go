package consensus

import (
	"math/rand/v2"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// pendingReads holds the read requests that are not confirmed yet.
type pendingReads struct {
	// waitingReads are reads at the leader in the order of arrival.
	waitingReads []leaderRead
	// forwardedReads are this member's reads sent to the leader, by forward id. Ids
	// begin at a random value, so that a reply to a request of an earlier start of
	// this member does not match a new request.
	forwardedReads map[uint64]forwardedRead
	lastForwardID  uint64
}

type leaderRead struct {
	from    uint64 // requesting member; the leader's own id for local reads
	context uint64
	index   uint64 // commit index to wait for; 0 until an entry of the term is committed
	round   uint64 // heartbeat round that confirms the read; 0 until one is started
}

type forwardedRead struct {
	requestID uint64
	sent      uint64 // tick
}

func (r *pendingReads) init(rng *rand.Rand) {
	r.forwardedReads = map[uint64]forwardedRead{}
	r.lastForwardID = rng.Uint64()
}

// ReadIndex requests an index at which a read sees everything that was committed
// before this call. The result is returned in ReadStates. There is none if the
// leader changes or a message is lost, so the caller retries after a timeout.
func (n *Node) ReadIndex(requestID uint64) error {
	if n.role() == RoleLeader {
		return n.addRead(leaderRead{from: n.cfg.ID, context: requestID})
	}
	if n.leader == 0 {
		return &NotLeaderError{}
	}
	if len(n.forwardedReads) >= n.cfg.MaxPendingReads {
		return errors.Annotatef(ErrBusy, "%d reads pending", len(n.forwardedReads))
	}
	n.lastForwardID++
	n.forwardedReads[n.lastForwardID] = forwardedRead{requestID, n.now}
	n.send(&apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_READ_INDEX, To: n.leader, Context: n.lastForwardID,
	})
	return nil
}

func (n *Node) addRead(r leaderRead) error {
	if len(n.waitingReads) >= n.cfg.MaxPendingReads {
		return errors.Annotatef(ErrBusy, "%d reads pending", len(n.waitingReads))
	}
	if n.termCommitted() {
		r.index = n.log.committed
	}
	n.waitingReads = append(n.waitingReads, r)
	return nil
}

func (n *Node) handleReadIndex(m *apipb.ConsensusMessage) {
	// A rejected read gets no reply; the requesting member times out.
	_ = n.addRead(leaderRead{from: m.GetFrom(), context: m.GetContext()})
}

func (n *Node) handleReadIndexReply(m *apipb.ConsensusMessage) {
	if f, ok := n.forwardedReads[m.GetContext()]; ok {
		delete(n.forwardedReads, m.GetContext())
		n.readStates = append(n.readStates, ReadState{f.requestID, m.GetIndex()})
	}
}

// flushReads starts a heartbeat round for new reads unless a round that confirms
// reads is in flight. Reads that arrive meanwhile share the next round.
func (n *Node) flushReads() {
	if n.role() != RoleLeader || len(n.waitingReads) == 0 || !n.termCommitted() {
		return
	}
	unassigned, roundInFlight := false, false
	for i := range n.waitingReads {
		r := &n.waitingReads[i]
		if r.index == 0 {
			r.index = n.log.committed
		}
		unassigned = unassigned || r.round == 0
		roundInFlight = roundInFlight || r.round != 0
	}
	if unassigned && !roundInFlight {
		n.startHeartbeatRound()
	}
}

// assignReadsToRound assigns the reads received so far to a round that is about to
// be sent.
func (n *Node) assignReadsToRound(round uint64) {
	for i := range n.waitingReads {
		if r := &n.waitingReads[i]; r.round == 0 && r.index != 0 {
			r.round = round
		}
	}
}

// answerConfirmedReads answers the reads whose heartbeat round a quorum has
// acknowledged.
func (n *Node) answerConfirmedReads() {
	confirmed := quorumValue(n.members.current(), n.ackedRoundOf)
	keep := n.waitingReads[:0]
	for _, r := range n.waitingReads {
		switch {
		case r.round == 0 || r.round > confirmed:
			keep = append(keep, r)
		case r.from == n.cfg.ID:
			n.readStates = append(n.readStates, ReadState{r.context, r.index})
		default:
			n.send(&apipb.ConsensusMessage{
				Type: apipb.MessageType_MESSAGE_TYPE_READ_INDEX_REPLY, To: r.from, Context: r.context, Index: r.index,
			})
		}
	}
	n.waitingReads = keep
}

func (n *Node) ackedRoundOf(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.rounds.lastRound()
	}
	if pr := n.progress[id]; pr != nil {
		return pr.ackedRound
	}
	return 0
}

// expireReads drops forwarded reads that got no reply for two election timeouts.
func (n *Node) expireReads() {
	for forwardID, f := range n.forwardedReads {
		if n.now-f.sent >= 2*uint64(n.cfg.ElectionTicks) {
			delete(n.forwardedReads, forwardID)
		}
	}
}

func (n *Node) dropLeaderReads() { n.waitingReads = nil }
