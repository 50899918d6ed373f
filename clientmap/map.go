package clientmap

import (
	"net/netip"
	"sync/atomic"
)

// Map holds the table in force. The zero value holds no blocks. It is safe for
// concurrent use.
type Map struct {
	table atomic.Pointer[Table]
}

// Swap puts t in force for every later look-up and returns the previous table,
// which is nil before the first call.
func (m *Map) Swap(t *Table) *Table { return m.table.Swap(t) }

// Table returns the table in force, nil before the first Swap. A caller that
// needs several consistent look-ups does them on one table.
func (m *Map) Table() *Table { return m.table.Load() }

// Lookup returns the site of addr in the table in force. It does not allocate.
func (m *Map) Lookup(addr netip.Addr) (Site, bool) {
	t := m.table.Load()
	if t == nil {
		return Site{}, false
	}
	return t.Lookup(addr)
}
