package consensus

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// memberHistory records each member set with the log index at which it took
// effect, so that a truncated change can be undone. The first set comes from a
// snapshot or is empty.
type memberHistory struct {
	records []memberRecord
}

type memberRecord struct {
	index uint64
	set   *apipb.MemberSet
}

func newMemberHistory(index uint64, set *apipb.MemberSet) memberHistory {
	if set == nil {
		set = &apipb.MemberSet{}
	}
	return memberHistory{records: []memberRecord{{index, set}}}
}

func (h *memberHistory) last() memberRecord { return h.records[len(h.records)-1] }

func (h *memberHistory) current() *apipb.MemberSet { return h.last().set }

// at returns the member set in effect at index.
func (h *memberHistory) at(index uint64) *apipb.MemberSet {
	i := len(h.records) - 1
	for i > 0 && h.records[i].index > index {
		i--
	}
	return h.records[i].set
}

// recordChange applies the change in a log entry. An invalid change is skipped;
// every member skips it, since all have the same log.
func (h *memberHistory) recordChange(e *apipb.LogEntry) {
	change := &apipb.MemberChange{}
	if proto.Unmarshal(e.GetData(), change) != nil {
		return
	}
	if set, err := applyChange(h.current(), change); err == nil {
		h.records = append(h.records, memberRecord{e.GetIndex(), set})
	}
}

// truncate undoes the changes from index on.
func (h *memberHistory) truncate(index uint64) {
	for len(h.records) > 1 && h.last().index >= index {
		h.records = h.records[:len(h.records)-1]
	}
}

// compact drops sets that were superseded at or below index.
func (h *memberHistory) compact(index uint64) {
	for len(h.records) > 1 && h.records[1].index <= index {
		h.records = h.records[1:]
	}
}

func compareMembers(a, b *apipb.Member) int { return cmp.Compare(a.GetId(), b.GetId()) }

func cloneMember(m *apipb.Member) *apipb.Member { return proto.Clone(m).(*apipb.Member) }

func cloneMemberSet(s *apipb.MemberSet) *apipb.MemberSet { return proto.Clone(s).(*apipb.MemberSet) }

func findMember(s *apipb.MemberSet, id uint64) *apipb.Member {
	for _, m := range s.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func isVoter(s *apipb.MemberSet, id uint64) bool {
	return findMember(s, id).GetVoter() || slices.Contains(s.GetOutgoingVoters(), id)
}

func isJoint(s *apipb.MemberSet) bool { return len(s.GetOutgoingVoters()) > 0 }

func voterIDs(s *apipb.MemberSet) []uint64 {
	var ids []uint64
	for _, m := range s.GetMembers() {
		if m.GetVoter() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

// isSoleVoter reports whether id is the only voter.
func isSoleVoter(s *apipb.MemberSet, id uint64) bool {
	ids := voterIDs(s)
	return !isJoint(s) && len(ids) == 1 && ids[0] == id
}
