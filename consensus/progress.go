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
	last   uint64 // index of its last entry
	round  uint64 // latest heartbeat round when it was sent
	sentAt uint64 // tick
	bytes  int
}

// progress is the leader's replication state of another member.
type progress struct {
	state progressState
	match uint64 // last index known to be durable on the member
	next  uint64 // index of the next entry to send
	// inflight holds the unacknowledged appends, oldest first; at most one in
	// progressProbe.
	inflight []inflightAppend
	// advancedAt is the tick of the latest acknowledgement of an append.
	advancedAt uint64
	// sendFailed is set once the driver reports that a message was not delivered.
	sendFailed bool

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
func (p *progress) recordAck(index, now uint64) {
	p.advancedAt = now
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

// detectLoss schedules a resend if an append or a snapshot chunk was lost: the driver reported it, or an
// append sent before an acknowledged heartbeat round is itself unacknowledged for longer than a message of
// its size takes. At worst the append is sent twice.
func (p *progress) detectLoss(answeredRound, now uint64, cfg *Config) {
	failed := p.sendFailed
	p.sendFailed = false
	if failed && p.state == progressSnapshot {
		p.snapshotSentAt = 0
		return
	}
	if len(p.inflight) == 0 || !failed && !p.overdue(answeredRound, now, cfg) {
		return
	}
	switch p.state {
	case progressProbe:
		p.inflight = nil
	case progressReplicate:
		p.becomeProbe()
	}
}

// overdue reports whether the oldest unacknowledged append counts as lost. The time of an append begins
// when the one before it was acknowledged.
func (p *progress) overdue(answeredRound, now uint64, cfg *Config) bool {
	oldest := p.inflight[0]
	return answeredRound > oldest.round && now-max(oldest.sentAt, p.advancedAt) >= cfg.lossTicks(oldest.bytes)
}
