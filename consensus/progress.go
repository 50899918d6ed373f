package consensus

import "pistachiomount.example/pistachiomount/apipb"

type progressState int

const (
	progressProbe     progressState = iota // one append at a time until the logs match
	progressReplicate                      // appends are pipelined
	progressSnapshot                       // a snapshot is being sent
)

// inflightAppend is an append that is not acknowledged yet.
type inflightAppend struct {
	last  uint64 // index of its last entry
	round uint64 // latest heartbeat round when it was sent
}

// progress is the leader's replication state of another member.
type progress struct {
	state progressState
	match uint64 // last index known to be durable on the member
	next  uint64 // index of the next entry to send
	// inflight holds the unacknowledged appends, oldest first; at most one in
	// progressProbe.
	inflight []inflightAppend

	// ackedRound is the latest heartbeat round that the member acknowledged, and
	// ackedTick the tick at which that round was sent.
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

// recordAck records that the member durably holds the log up to index.
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

// recordRejection handles the rejection of an append after index. It ignores stale
// replies, and those that contradict what the member acknowledged: an immediate
// retry of these would loop forever with a member that lost synced data.
func (p *progress) recordRejection(index, next uint64) {
	if index <= p.match || p.state == progressSnapshot || (p.state == progressProbe && index != p.next-1) {
		return
	}
	p.becomeProbe()
	p.next = max(next, p.match+1)
}

// detectLoss schedules a resend if an append sent before an acknowledged heartbeat
// round is itself unacknowledged. Links keep the order of messages, so the append or
// its reply was lost; otherwise the append is merely sent twice.
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
