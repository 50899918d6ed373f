package grant

import "pistachiomount.example/pistachiomount/clock"

// memberKey identifies a process of a VM.
type memberKey struct {
	vm          string
	incarnation uint64
}

// member is the owner's record of one process of a VM. Two incarnations of a VM are two
// members, because the earlier process may still run.
type member struct {
	key         memberKey
	sequence    uint64 // of the last processed request
	receivedAt  clock.Instant
	live        bool // its lease may still be valid
	stopping    bool
	retiring    bool   // a planned stop has begun; its callers move to other VMs soon
	region      string // empty if unknown
	holdings    map[ResourceID]*holding
	holdingList []*holding
	layout      layout
}

// setRetiring records whether a planned stop has begun. A change makes new plans due.
func (m *member) setRetiring(retiring bool) {
	if retiring == m.retiring {
		return
	}
	m.retiring = retiring
	for _, h := range m.holdingList {
		h.pool.dirty = true
	}
}

func (m *member) add(p *pool) *holding {
	h := &holding{member: m, pool: p, poolIndex: len(p.holdings), memberIndex: len(m.holdingList), weight: 1}
	p.holdings = append(p.holdings, h)
	m.holdingList = append(m.holdingList, h)
	m.holdings[p.cap.Resource] = h
	p.dirty = true
	return h
}

// remove deletes a holding from the ledger and subtracts it from the sum of its pool.
func (m *member) remove(h *holding) {
	p := h.pool
	p.sum.subtract(h.committed())
	last := p.holdings[len(p.holdings)-1]
	p.holdings[h.poolIndex], last.poolIndex = last, h.poolIndex
	p.holdings[len(p.holdings)-1] = nil
	p.holdings = p.holdings[:len(p.holdings)-1]
	p.dirty = true
	h.removed = true

	tail := m.holdingList[len(m.holdingList)-1]
	m.holdingList[h.memberIndex], tail.memberIndex = tail, h.memberIndex
	m.holdingList[len(m.holdingList)-1] = nil
	m.holdingList = m.holdingList[:len(m.holdingList)-1]
	delete(m.holdings, p.cap.Resource)
}
