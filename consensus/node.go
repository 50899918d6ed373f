package consensus

import (
	"math/rand/v2"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// Node is the protocol state machine of one member.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	roles   *roleMachine
	log     *entryLog
	members memberHistory

	term     uint64
	votedFor uint64
	leader   uint64

	// now counts ticks. It starts at ElectionTicks, so that tick 0 is always more
	// than an election timeout ago.
	now uint64
	// lastLeaderContact is the tick of the last message from a leader. A change of
	// term does not reset it, because the leader's lease depends on it.
	lastLeaderContact uint64
	// electionTimerStart is the tick at which electionTimeout starts.
	electionTimerStart uint64
	electionTimeout    uint64
	votes              map[uint64]bool

	leaderState
	pendingReads
	incoming incomingSnapshot

	latestSnapshot     *apipb.Snapshot // sent to lagging members
	pendingSnapshot    *apipb.Snapshot // received, not yet persisted
	persistedHardState *apipb.HardState
	messages           []*apipb.ConsensusMessage
	readStates         []ReadState
}

// leaderState is used only by a leader and is reset when the node enters a term.
type leaderState struct {
	progress          map[uint64]*progress
	leaderSince       uint64 // tick
	termStart         uint64 // index of the first entry of the leader's term
	lastHeartbeat     uint64 // tick
	rounds            heartbeatRounds
	commitAtHeartbeat uint64 // commit index at the last heartbeat
	caughtUpIndex     uint64 // commit index at the heartbeat before it
	uncommittedBytes  int

	transferee     uint64
	transferStart  uint64 // tick
	timeoutNowSent bool   // stays set for the rest of the term
}

// New returns a Node with the given persistent state.
func New(cfg Config, p PersistentState) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	meta := p.Snapshot.GetMeta()
	n := &Node{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), roles: newRoleMachine(),
		log:                newEntryLog(meta.GetIndex(), meta.GetTerm()),
		members:            newMemberHistory(meta.GetIndex(), meta.GetMembers()),
		term:               p.HardState.GetTerm(),
		votedFor:           p.HardState.GetVotedFor(),
		now:                uint64(cfg.ElectionTicks),
		latestSnapshot:     p.Snapshot,
		persistedHardState: p.HardState,
	}
	n.pendingReads.init(n.rng)
	if err := n.loadEntries(p); err != nil {
		return nil, err
	}
	if n.term > bootstrapTerm {
		// The member may have acknowledged a heartbeat just before it restarted, so a
		// leader's lease may depend on it.
		n.lastLeaderContact = n.now
	}
	n.resetElectionTimer()
	n.updateRole()
	return n, nil
}

func (n *Node) loadEntries(p PersistentState) error {
	for _, e := range p.Entries {
		if e.GetIndex() != n.log.lastIndex()+1 || e.GetTerm() < n.log.lastTerm() {
			return errors.Annotatef(ErrInvalidState, "entry %d of term %d follows entry %d of term %d",
				e.GetIndex(), e.GetTerm(), n.log.lastIndex(), n.log.lastTerm())
		}
		n.appendToLog(e)
	}
	n.log.stable = n.log.lastIndex()
	if c := p.HardState.GetCommit(); c > n.log.lastIndex() {
		return errors.Annotatef(ErrInvalidState, "commit index %d is above the last entry %d", c, n.log.lastIndex())
	}
	if n.log.lastTerm() > n.term && len(p.Entries) > 0 {
		return errors.Annotatef(ErrInvalidState, "last entry has term %d, but the hard state has term %d", n.log.lastTerm(), n.term)
	}
	n.term = max(n.term, n.log.lastTerm()) // a snapshot is saved before the hard state
	n.log.commitTo(p.HardState.GetCommit())
	return nil
}

// ReportFailure informs a leader that a message to a member was not delivered. What it held is sent again
// once the member acknowledges a heartbeat.
func (n *Node) ReportFailure(id uint64) {
	if pr := n.progress[id]; pr != nil && n.role() == RoleLeader {
		pr.sendFailed = true
	}
}

// Tick advances the node's time by one tick interval.
func (n *Node) Tick() {
	n.now++
	n.expireReads()
	if n.role() == RoleLeader {
		n.tickLeader()
		return
	}
	if !n.hasRecentLeaderContact() {
		n.leader = 0
	}
	if n.now-n.electionTimerStart >= n.electionTimeout || isSoleVoter(n.members.current(), n.cfg.ID) {
		n.resetElectionTimer()
		n.campaign()
	}
}

func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	if n.role() == RoleLeader && n.now-n.lastHeartbeat >= uint64(n.cfg.HeartbeatTicks) {
		n.lastHeartbeat = n.now
		n.caughtUpIndex, n.commitAtHeartbeat = n.commitAtHeartbeat, n.log.committed
		n.startHeartbeatRound()
	}
}

func (n *Node) role() Role { return n.roles.current }

// updateRole adjusts the role to whether this member is a voter.
func (n *Node) updateRole() {
	if isVoter(n.members.current(), n.cfg.ID) {
		n.roles.fire(triggerVoterGained)
	} else {
		n.roles.fire(triggerVoterLost)
	}
}

// resetElectionTimer draws a new random timeout. It is at least ElectionTicks after
// recent contact with a leader. Without it, as after a split vote, the minimum only
// has to cover the vote in progress.
func (n *Node) resetElectionTimer() {
	minTicks := n.cfg.ElectionTicks
	if !n.hasRecentLeaderContact() {
		minTicks = n.cfg.ElectionTicks / electionRetryDivisor
	}
	n.electionTimerStart = n.now
	n.electionTimeout = uint64(minTicks + n.rng.IntN(n.cfg.ElectionTicks))
}

func (n *Node) send(m *apipb.ConsensusMessage) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// appendToLog appends entries and applies the member changes among them.
func (n *Node) appendToLog(entries ...*apipb.LogEntry) {
	n.log.append(entries...)
	changed := false
	for _, e := range entries {
		if e.GetType() == apipb.EntryType_ENTRY_TYPE_MEMBER_CHANGE {
			n.members.recordChange(e)
			changed = true
		}
	}
	if changed {
		n.onMembersChanged()
	}
}

// onMembersChanged updates the role and the replication state after a change of the
// current member set.
func (n *Node) onMembersChanged() {
	n.updateRole()
	if n.role() == RoleLeader {
		n.syncProgress()
	}
}
