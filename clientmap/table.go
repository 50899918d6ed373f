package clientmap

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// MaxSites bounds the number of distinct sites, because blocks refer to sites by
// a 16-bit index to keep the table small.
const MaxSites = 1 << 16

// Table is an immutable set of client blocks. It is safe for concurrent use.
type Table struct {
	blocks bart.Table[uint16]
	sites  []Site
}

// NewTable builds a table from blocks. It fails on the first invalid or duplicate block.
func NewTable(blocks []Block) (*Table, error) {
	t := &Table{}
	indexes := make(map[Site]uint16)
	for i, b := range blocks {
		prefix, ok := b.canonical()
		if !ok {
			return nil, blockError(ErrInvalidBlock, i, b.Prefix)
		}
		if _, exists := t.blocks.Get(prefix); exists {
			return nil, blockError(ErrDuplicateBlock, i, b.Prefix)
		}
		n, ok := t.siteIndex(indexes, b.Site)
		if !ok {
			return nil, blockError(ErrTooManySites, i, b.Prefix)
		}
		t.blocks.Insert(prefix, n)
	}
	return t, nil
}

// siteIndex returns the index of s in the table's sites, which it appends if it is
// new. It returns false if there are already MaxSites sites.
func (t *Table) siteIndex(indexes map[Site]uint16, s Site) (uint16, bool) {
	if n, ok := indexes[s]; ok {
		return n, true
	}
	if len(t.sites) == MaxSites {
		return 0, false
	}
	n := uint16(len(t.sites))
	t.sites = append(t.sites, s)
	indexes[s] = n
	return n, true
}

// Lookup returns the site of the most specific block that contains addr. It does
// not allocate.
func (t *Table) Lookup(addr netip.Addr) (Site, bool) {
	n, ok := t.blocks.Lookup(addr.Unmap())
	if !ok {
		return Site{}, false
	}
	return t.sites[n], true
}

// LookupBlock returns the most specific block that contains addr. It is slower than
// Lookup.
func (t *Table) LookupBlock(addr netip.Addr) (Block, bool) {
	addr = addr.Unmap()
	if !addr.IsValid() {
		return Block{}, false
	}
	prefix, n, ok := t.blocks.LookupPrefixLPM(netip.PrefixFrom(addr, addr.BitLen()))
	if !ok {
		return Block{}, false
	}
	return Block{Prefix: prefix, Site: t.sites[n]}, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks.Size() }

// SiteCount returns the number of distinct sites.
func (t *Table) SiteCount() int { return len(t.sites) }
