package lint

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"pistachiomount.example/pistachiomount/document"
)

// block is a client block with its position in the document.
type block struct {
	prefix netip.Prefix
	region string
	index  int
	// covered is the end of the addresses that more specific blocks cover from the first one on without a gap, or invalid.
	covered netip.Addr
}

// checkClientBlocks reports blocks without which every address gets the same region. The most specific block decides.
func (l *linter) checkClientBlocks() {
	var enclosing []*block // those that contain the current one, the largest first
	for _, b := range sortedBlocks(l.doc.ClientBlocks) {
		enclosing = l.closeBlocks(enclosing, func(outer *block) bool { return !outer.prefix.Contains(b.prefix.Addr()) })
		if n := len(enclosing); n > 0 {
			outer := enclosing[n-1]
			outer.cover(b.prefix)
			if outer.region == b.region {
				l.warn(CodeBlockRedundant, blockPath(b), "%s is part of %s, which has the same region %q", b.prefix, outer.prefix, b.region)
			}
		}
		enclosing = append(enclosing, b)
	}
	l.closeBlocks(enclosing, func(*block) bool { return true })
}

// closeBlocks removes the most specific blocks as long as done holds, and reports those that are covered as a whole.
func (l *linter) closeBlocks(blocks []*block, done func(*block) bool) []*block {
	for len(blocks) > 0 && done(blocks[len(blocks)-1]) {
		b := blocks[len(blocks)-1]
		if b.covered == lastAddr(b.prefix) {
			l.warn(CodeBlockHidden, blockPath(b), "more specific blocks cover all addresses of %s", b.prefix)
		}
		blocks = blocks[:len(blocks)-1]
	}
	return blocks
}

// cover extends the covered addresses if the next block follows them without a gap.
func (b *block) cover(next netip.Prefix) {
	switch {
	case !b.covered.IsValid() && next.Addr() == b.prefix.Addr(), b.covered.IsValid() && b.covered.Next() == next.Addr():
		b.covered = lastAddr(next)
	}
}

// sortedBlocks returns the blocks by address, an enclosing block before those that it contains.
func sortedBlocks(blocks []document.ClientBlock) []*block {
	sorted := make([]*block, len(blocks))
	for i, b := range blocks {
		sorted[i] = &block{prefix: netip.MustParsePrefix(b.CIDR), region: b.Region, index: i} // checked by document.Decode
	}
	slices.SortFunc(sorted, func(a, b *block) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
	})
	return sorted
}

func lastAddr(p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(raw)*8; bit++ {
		raw[bit/8] |= 0x80 >> (bit % 8)
	}
	last, _ := netip.AddrFromSlice(raw)
	return last
}

func blockPath(b *block) string { return fmt.Sprintf("client_blocks[%d]", b.index) }
