package entry

import "pistachiomount.example/pistachiomount/grant"

// upstreamUnits holds the units of one kind (slots or connections) by upstream.
type upstreamUnits struct {
	holder *grant.Holder
	id     func(upstream string) grant.ResourceID

	live cowMap[string, *grant.Units]
	// removed holds the units still in use at removed upstreams. Releasing them through
	// the holder would register the resource again.
	removed cowMap[string, *grant.Units]
}

func (m *upstreamUnits) get(upstream string) *grant.Units {
	return m.live.loadOrCreate(upstream, func(name string) *grant.Units { return m.holder.Units(m.id(name)) })
}

// release returns one unit, also after the upstream was removed.
func (m *upstreamUnits) release(upstream string) {
	if u, ok := m.live.load(upstream); ok {
		u.Release()
		return
	}
	if u, ok := m.removed.load(upstream); ok {
		u.Release()
		m.dropIfUnused(upstream, u)
	}
}

// forget removes an upstream and returns its units. Those in use are returned when
// they are released.
func (m *upstreamUnits) forget(upstream string) {
	u, ok := m.live.load(upstream)
	if !ok {
		return
	}
	m.removed.store(upstream, u) // before the removal, so that release always finds it
	m.live.remove(upstream)
	m.holder.Remove(m.id(upstream))
	m.dropIfUnused(upstream, u)
}

func (m *upstreamUnits) dropIfUnused(upstream string, u *grant.Units) {
	if used, _ := u.InUse(); used == 0 {
		m.removed.remove(upstream)
	}
}

// held returns the number of upstreams with granted units.
func (m *upstreamUnits) held() int {
	n := 0
	for _, upstream := range m.live.keys() {
		if u, ok := m.live.load(upstream); ok {
			if _, granted := u.InUse(); granted > 0 {
				n++
			}
		}
	}
	return n
}
