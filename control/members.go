package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// promoteLearners lets the leader promote learners that have caught up to voters.
func (e *Engine) promoteLearners(ctx context.Context) {
	ticker := time.NewTicker(memberCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.done:
			return
		case <-ticker.C:
			_ = e.do(ctx, e.promoteOneLearner)
		}
	}
}

// promoteOneLearner proposes at most one change, since members change one at a time.
// A learner replaces a voter of the same name, whose disk was lost. Otherwise it is
// added as long as there are fewer than MaxVoters.
func (e *Engine) promoteOneLearner() {
	status := e.node.Status()
	e.updateLeading(status.Role == consensus.RoleLeader)
	if !e.leading || len(status.Members.GetOutgoingVoters()) > 0 {
		return
	}
	for _, progress := range e.node.Progress() {
		learner := e.member(progress.ID)
		if learner == nil || learner.Voter || !progress.CaughtUp {
			continue
		}
		change := promotionFor(learner, status.Members, e.isSilent)
		if change == nil {
			continue
		}
		err := e.node.ProposeMemberChange(change)
		if err != nil && !errors.Is(err, consensus.ErrChangePending) && !errors.Is(err, consensus.ErrNotCaughtUp) {
			e.cfg.Log.WithError(err).WithField("member", learner.Name).Warn("cannot promote learner")
		}
		return
	}
}

// updateLeading records whether this daemon leads and, at a change, since when.
func (e *Engine) updateLeading(leads bool) {
	if leads && !e.leading {
		e.leadingSince = e.cfg.Clock.Now()
	}
	e.leading = leads
}

// isSilent reports whether no message of the member arrived for memberActiveFor while
// this daemon led.
func (e *Engine) isSilent(m *apipb.Member) bool {
	now := e.cfg.Clock.Now()
	if m.Id == e.cfg.Self.Id || now.ElapsedSince(e.leadingSince) < memberActiveFor {
		return false
	}
	heard, ok := e.lastHeard[m.Id]
	return !ok || now.ElapsedSince(heard) >= memberActiveFor
}

// promotionFor returns the change that makes the learner a voter, or nil if it stays
// a learner. In a full group it replaces a silent voter, because a VM that was removed
// for good must not count against the majority.
func promotionFor(learner *apipb.Member, members *apipb.MemberSet, isSilent func(*apipb.Member) bool) *apipb.MemberChange {
	voters := 0
	var silentVoter *apipb.Member
	for _, m := range members.GetMembers() {
		if !m.Voter {
			continue
		}
		voters++
		if isSilent(m) {
			silentVoter = m
		}
		if m.Name == learner.Name {
			return &apipb.MemberChange{
				Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE, Member: learner, ReplacesId: m.Id,
			}
		}
	}
	switch {
	case voters < MaxVoters:
	case silentVoter != nil:
		return &apipb.MemberChange{
			Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE, Member: learner, ReplacesId: silentVoter.Id,
		}
	default:
		return nil
	}
	return &apipb.MemberChange{Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_PROMOTE, Member: learner}
}

// Join adds a daemon as a learner, or updates the address of a member. It reports
// acceptance only after the change is committed: a change of leader drops an
// uncommitted one, and an accepted daemon does not ask again.
func (e *Engine) Join(ctx context.Context, member *apipb.Member) (*apipb.JoinReply, error) {
	reply := &apipb.JoinReply{ClusterId: e.cfg.ClusterID}
	err := e.do(ctx, func() {
		if e.node.Status().Role != consensus.RoleLeader {
			reply.LeaderAddress = e.leaderAddress()
			return
		}
		if err := e.joinOnLoop(member); err != nil {
			reply.Reason = err.Error()
			return
		}
		reply.Accepted = true
	})
	return reply, errors.Trace(err)
}

func (e *Engine) joinOnLoop(member *apipb.Member) error {
	if known := e.member(member.Id); known != nil {
		if err := e.updateAddress(known, member); err != nil {
			return err
		}
		return e.memberChangeCommitted()
	}
	now := e.cfg.Clock.Now()
	for _, m := range e.node.Status().Members.GetMembers() {
		if m.Name != member.Name {
			continue
		}
		// The known member cannot be running if the new daemon is bound to its address.
		sameAddress := m.RpcAddress == member.RpcAddress
		if heard, ok := e.lastHeard[m.Id]; m.Id == e.cfg.Self.Id || ok && !sameAddress && now.ElapsedSince(heard) < memberActiveFor {
			return errors.Annotatef(ErrNameInUse, "name %q", member.Name)
		}
		if !m.Voter { // a learner whose disk was lost before it was promoted
			return e.changeMember(apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REMOVE, m)
		}
	}
	return e.changeMember(apipb.MemberChangeType_MEMBER_CHANGE_TYPE_ADD_LEARNER, member)
}

// changeMember proposes a change and returns ErrJoinPending, since it is not
// committed yet.
func (e *Engine) changeMember(kind apipb.MemberChangeType, member *apipb.Member) error {
	if err := e.node.ProposeMemberChange(&apipb.MemberChange{Type: kind, Member: member}); err != nil {
		return errors.Trace(err)
	}
	status := e.node.Status()
	e.memberChangeIndex, e.memberChangeTerm = status.LastIndex, status.Term
	return errors.Trace(ErrJoinPending)
}

// memberChangeCommitted returns ErrJoinPending while a change by this leader or an
// earlier one is not committed.
func (e *Engine) memberChangeCommitted() error {
	status := e.node.Status()
	if !status.TermCommitted || status.Term == e.memberChangeTerm && status.Commit < e.memberChangeIndex {
		return errors.Trace(ErrJoinPending)
	}
	return nil
}

func (e *Engine) updateAddress(known, member *apipb.Member) error {
	if known.RpcAddress == member.RpcAddress && known.HttpAddress == member.HttpAddress {
		return nil
	}
	return e.changeMember(apipb.MemberChangeType_MEMBER_CHANGE_TYPE_UPDATE_ADDRESS, member)
}

// transferLeadership transfers leadership to the most up-to-date voter and waits until
// this daemon no longer leads, so that a planned stop costs no election timeout.
func (e *Engine) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for {
		leads := false
		err := e.do(ctx, func() {
			leads = e.node.Status().Role == consensus.RoleLeader
			leads = leads && e.startTransfer()
		})
		if err != nil || !leads {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(TickInterval):
		}
	}
}

// startTransfer starts a transfer unless one is in progress. It returns false if there
// is no other voter.
func (e *Engine) startTransfer() bool {
	best, match := uint64(0), uint64(0)
	for _, progress := range e.node.Progress() {
		if member := e.member(progress.ID); member != nil && member.Voter && progress.Match >= match {
			best, match = progress.ID, progress.Match
		}
	}
	if best == 0 || e.node.Status().Transferee != 0 {
		return best != 0
	}
	if err := e.node.TransferLeadership(best); err != nil {
		e.cfg.Log.WithError(err).Warn("cannot transfer leadership")
	}
	return true
}
