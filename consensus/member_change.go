package consensus

import (
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// applyChange returns the member set after a change, or ErrInvalidMemberChange if
// the change is not valid for old. It does not modify old.
func applyChange(old *apipb.MemberSet, c *apipb.MemberChange) (*apipb.MemberSet, error) {
	set := cloneMemberSet(old)
	m := findMember(set, c.GetMember().GetId())
	if isJoint(old) != (c.GetType() == apipb.MemberChangeType_MEMBER_CHANGE_TYPE_LEAVE_JOINT) {
		return nil, errors.Annotatef(ErrInvalidMemberChange, "%v is not allowed while replacement in progress is %v", c.GetType(), isJoint(old))
	}
	switch c.GetType() {
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_ADD_LEARNER:
		return addLearner(set, c.GetMember())
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_PROMOTE:
		return promote(set, m)
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REMOVE:
		return remove(set, m)
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_UPDATE_ADDRESS:
		return updateAddress(set, m, c.GetMember())
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE:
		return replace(set, m, findMember(set, c.GetReplacesId()))
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_LEAVE_JOINT:
		return leaveJoint(set), nil
	}
	return nil, errors.Annotatef(ErrInvalidMemberChange, "unknown change type %v", c.GetType())
}

func addLearner(set *apipb.MemberSet, m *apipb.Member) (*apipb.MemberSet, error) {
	if m.GetId() == 0 || findMember(set, m.GetId()) != nil {
		return nil, errors.Annotatef(ErrInvalidMemberChange, "member id %x is zero or already in the group", m.GetId())
	}
	c := cloneMember(m)
	c.Voter = false
	set.Members = append(set.Members, c)
	slices.SortFunc(set.Members, compareMembers)
	return set, nil
}

func promote(set *apipb.MemberSet, m *apipb.Member) (*apipb.MemberSet, error) {
	if m == nil || m.GetVoter() {
		return nil, errors.Annotatef(ErrInvalidMemberChange, "member %x is not a learner", m.GetId())
	}
	m.Voter = true
	return set, nil
}

func remove(set *apipb.MemberSet, m *apipb.Member) (*apipb.MemberSet, error) {
	if m == nil || (m.GetVoter() && len(voterIDs(set)) == 1) {
		return nil, errors.Annotatef(ErrInvalidMemberChange, "member %x is unknown or the last voter", m.GetId())
	}
	set.Members = slices.DeleteFunc(set.Members, func(x *apipb.Member) bool { return x == m })
	return set, nil
}

func updateAddress(set *apipb.MemberSet, m, to *apipb.Member) (*apipb.MemberSet, error) {
	if m == nil {
		return nil, errors.Annotatef(ErrInvalidMemberChange, "member %x is unknown", to.GetId())
	}
	voter := m.GetVoter()
	proto.Reset(m)
	proto.Merge(m, to)
	m.Voter = voter
	return set, nil
}

// replace starts a joint configuration. The replaced member stays in the list, so
// that its address is known while it is an outgoing voter.
func replace(set *apipb.MemberSet, m, old *apipb.Member) (*apipb.MemberSet, error) {
	if m == nil || m.GetVoter() || old == nil || !old.GetVoter() {
		return nil, errors.Annotate(ErrInvalidMemberChange, "a replacement needs a learner and a voter to replace")
	}
	set.OutgoingVoters = voterIDs(set)
	m.Voter, old.Voter = true, false
	return set, nil
}

func leaveJoint(set *apipb.MemberSet) *apipb.MemberSet {
	set.Members = slices.DeleteFunc(set.Members, func(m *apipb.Member) bool {
		return !m.GetVoter() && slices.Contains(set.OutgoingVoters, m.GetId())
	})
	set.OutgoingVoters = nil
	return set
}

// ProposeMemberChange appends a member change to the leader's log. Only one change
// can be in progress at a time.
func (n *Node) ProposeMemberChange(c *apipb.MemberChange) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if c.GetType() == apipb.MemberChangeType_MEMBER_CHANGE_TYPE_LEAVE_JOINT {
		return errors.Annotate(ErrInvalidMemberChange, "LEAVE_JOINT is proposed only by the leader itself")
	}
	if !n.termCommitted() || n.members.last().index > n.log.committed || isJoint(n.members.current()) {
		return errors.Trace(ErrChangePending)
	}
	if _, err := applyChange(n.members.current(), c); err != nil {
		return err
	}
	if err := n.checkChange(c); err != nil {
		return err
	}
	return n.appendChange(c)
}

// checkChange checks the rules that depend on the state of the leader.
func (n *Node) checkChange(c *apipb.MemberChange) error {
	id := c.GetMember().GetId()
	switch c.GetType() {
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REMOVE:
		if id == n.cfg.ID {
			return errors.Annotate(ErrInvalidMemberChange, "the leader cannot remove itself: transfer leadership first")
		}
	case apipb.MemberChangeType_MEMBER_CHANGE_TYPE_PROMOTE, apipb.MemberChangeType_MEMBER_CHANGE_TYPE_REPLACE:
		if c.GetReplacesId() == n.cfg.ID {
			return errors.Annotate(ErrInvalidMemberChange, "the leader cannot be replaced: transfer leadership first")
		}
		if !n.caughtUp(id) {
			return errors.Annotatef(ErrNotCaughtUp, "member %x", id)
		}
	}
	return nil
}

// caughtUp reports whether a member durably holds everything that was committed
// one to two heartbeat intervals ago. A comparison with the latest commit index
// would never succeed under steady load, as a learner is always one round trip behind.
func (n *Node) caughtUp(id uint64) bool {
	pr := n.progress[id]
	return pr != nil && pr.match >= max(n.termStart, n.caughtUpIndex)
}

func (n *Node) appendChange(c *apipb.MemberChange) error {
	data, err := proto.Marshal(c)
	if err != nil {
		return errors.Annotate(err, "encoding member change")
	}
	n.appendEntry(apipb.EntryType_ENTRY_TYPE_MEMBER_CHANGE, data)
	return nil
}
