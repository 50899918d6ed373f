package entry

import "pistachiomount.example/pistachiomount/grant"

// upstreamUnits keeps the units of one kind by upstream.
type upstreamUnits struct {
	holder *grant.Holder
	id     func(upstream string) grant.ResourceID

	live cowMap[string, *grant.Units]
	// left holds the units in use at upstreams that are gone. Releasing them
	// through the holder would open them again.
	left cowMap[string, *grant.Units]
}

func (m *upstreamUnits) get(upstream string) *grant.Units {
	return m.live.loadOrMake(upstream, func(name string) *grant.Units { return m.holder.Units(m.id(name)) })
}

// release gives one unit back, also after the upstream was forgotten.
func (m *upstreamUnits) release(upstream string) {
	if u, ok := m.live.load(upstream); ok {
		u.Release()
		return
	}
	if u, ok := m.left.load(upstream); ok {
		u.Release()
		m.dropIdle(upstream, u)
	}
}

// forget hands the units back. Those in use follow as they are released.
func (m *upstreamUnits) forget(upstream string) {
	u, ok := m.live.load(upstream)
	if !ok {
		return
	}
	m.left.store(upstream, u) // before the removal, so that release always finds it
	m.live.remove(upstream)
	m.holder.Remove(m.id(upstream))
	m.dropIdle(upstream, u)
}

func (m *upstreamUnits) dropIdle(upstream string, u *grant.Units) {
	if used, _ := u.InUse(); used == 0 {
		m.left.remove(upstream)
	}
}

// held counts the upstreams of which units are granted.
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
