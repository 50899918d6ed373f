package consensus

import (
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
)

// voterBufferSize lets the values of groups of typical size stay on the stack.
const voterBufferSize = 16

// quorumValue returns the largest value that a majority of the voters has reached.
// In a joint configuration it takes a majority of both the outgoing and the
// incoming voters.
func quorumValue(set *apipb.MemberSet, value func(id uint64) uint64) uint64 {
	var buf [voterBufferSize]uint64
	vals := buf[:0]
	for _, m := range set.GetMembers() {
		if m.GetVoter() {
			vals = append(vals, value(m.GetId()))
		}
	}
	v := majorityValue(vals)
	if len(set.GetOutgoingVoters()) == 0 {
		return v
	}
	vals = buf[:0]
	for _, id := range set.GetOutgoingVoters() {
		vals = append(vals, value(id))
	}
	return min(v, majorityValue(vals))
}

func majorityValue(vals []uint64) uint64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
}

// voteOutcome reports whether the votes received so far win or lose an election.
func voteOutcome(set *apipb.MemberSet, votes map[uint64]bool) (won, lost bool) {
	granted := quorumValue(set, func(id uint64) uint64 { return boolToUint(votes[id]) })
	possible := quorumValue(set, func(id uint64) uint64 {
		v, answered := votes[id]
		return boolToUint(v || !answered)
	})
	return granted == 1, possible == 0
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
