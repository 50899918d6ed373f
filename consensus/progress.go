package consensus

import "pistachiomount.example/pistachiomount/apipb"

type progressState int

const (
	progressProbe     progressState = iota // one append at a time until logs agree
	progressReplicate                      // appends are pipelined
	progressSnapshot                       // a snapshot is being sent
)

// inflightAppend is an append that was not acknowledged yet.
type inflightAppend struct {
	last  uint64 // index of its last entry
	round uint64 // newest heartbeat round when it was sent
}

// progress is what a leader knows about another member.
type progress struct {
	state progressState
	match uint64 // durable there
	next  uint64 // first entry to send
	// inflight holds the appends on the way, oldest first; at most one in a probe.
	inflight []inflightAppend

	// ackedRound is the newest heartbeat round it answered, and ackedTick the
	// tick at which that round was sent.
	ackedRound uint64
	ackedTick  uint64

	snapshot       *apipb.Snapshot
	snapshotOffset uint64
	snapshotSentAt uint64 // tick
}

func (p *progress) becomeProbe() {
	*p = progress{
		state: progressProbe, match: p.match, next: p.match + 1,
		ackedRound: p.ackedRound, ackedTick: p.ackedTick,
	}
}

func (p *progress) becomeReplicate() {
	p.becomeProbe()
	p.state = progressReplicate
}

func (p *progress) becomeSnapshot(s *apipb.Snapshot) {
	p.becomeProbe()
	p.state = progressSnapshot
	p.snapshot = s
}

// recordAck takes in that the member holds the log up to index.
func (p *progress) recordAck(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	i := 0
	for i < len(p.inflight) && p.inflight[i].last <= index {
		i++
	}
	p.inflight = append(p.inflight[:0], p.inflight[i:]...)
	if p.state == progressProbe || (p.state == progressSnapshot && index >= p.snapshot.GetMeta().GetIndex()) {
		p.becomeReplicate()
	}
}

// recordRejection takes in that an append after index was refused. It ignores answers to
// appends that are no longer of interest, and those that contradict what the
// member acknowledged: answering these at once would send without end to a member
// that lost synced data.
func (p *progress) recordRejection(index, next uint64) {
	if index <= p.match || p.state == progressSnapshot || (p.state == progressProbe && index != p.next-1) {
		return
	}
	p.becomeProbe()
	p.next = max(next, p.match+1)
}

// detectLoss sends again what was sent before a heartbeat that is answered
// already. Links keep the order of messages, so it was lost; if not, it is only
// sent twice.
func (p *progress) detectLoss(answeredRound uint64) {
	if len(p.inflight) == 0 || answeredRound <= p.inflight[0].round {
		return
	}
	switch p.state {
	case progressProbe:
		p.inflight = nil
	case progressReplicate:
		p.becomeProbe()
	}
}
