package clientmap

import (
	"net/netip"
	"sync/atomic"
)

// Map holds the current table, which can be replaced while lookups run. The zero
// value holds no blocks. It is safe for concurrent use.
type Map struct {
	table atomic.Pointer[Table]
}

// Swap makes t the table of all later lookups and returns the previous table,
// which is nil before the first call.
func (m *Map) Swap(t *Table) *Table { return m.table.Swap(t) }

// Table returns the current table, which is nil before the first Swap. Code that
// needs several consistent lookups does them on one table.
func (m *Map) Table() *Table { return m.table.Load() }

// Lookup returns the site of addr in the current table. It does not allocate.
func (m *Map) Lookup(addr netip.Addr) (Site, bool) {
	t := m.table.Load()
	if t == nil {
		return Site{}, false
	}
	return t.Lookup(addr)
}
