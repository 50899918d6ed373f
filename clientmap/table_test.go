package clientmap_test

import (
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/clientmap"
)

func block(prefix, region string) clientmap.Block {
	return clientmap.Block{Prefix: netip.MustParsePrefix(prefix), Site: clientmap.Site{Region: region}}
}

func drawPrefix(t *rapid.T) netip.Prefix {
	// A small address space makes nested and equal prefixes frequent.
	b := rapid.SliceOfN(rapid.ByteRange(0, 3), 4, 4).Draw(t, "addr")
	bits := rapid.IntRange(0, 32).Draw(t, "bits")
	return netip.PrefixFrom(netip.AddrFrom4([4]byte(b)), bits)
}

// Guards against a less specific block winning over a more specific one.
func TestLookupAgreesWithLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []clientmap.Block
		seen := map[netip.Prefix]bool{}
		for i := range rapid.IntRange(0, 40).Draw(t, "n") {
			p := drawPrefix(t)
			if seen[p.Masked()] {
				continue
			}
			seen[p.Masked()] = true
			blocks = append(blocks, clientmap.Block{Prefix: p, Site: clientmap.Site{Region: string(rune('a' + i))}})
		}
		table, err := clientmap.NewTable(blocks)
		if err != nil {
			t.Fatal(err)
		}
		addr := drawPrefix(t).Addr()
		want, bits := clientmap.Site{}, -1
		for _, b := range blocks {
			if b.Prefix.Contains(addr) && b.Prefix.Bits() > bits {
				want, bits = b.Site, b.Prefix.Bits()
			}
		}
		got, ok := table.Lookup(addr)
		if got != want || ok != (bits >= 0) {
			t.Fatalf("%v: got %v %v, want %v", addr, got, ok, want)
		}
		if found, ok := table.LookupBlock(addr); ok != (bits >= 0) || found.Site != want || (ok && found.Prefix.Bits() != bits) {
			t.Fatalf("%v: block %v, want %d bits", addr, found, bits)
		}
	})
}

// Guards against IPv4 blocks that do not match the IPv4-mapped caller addresses of a
// dual-stack listener.
func TestMappedAddresses(t *testing.T) {
	is := is.New(t)
	table, err := clientmap.NewTable([]clientmap.Block{block("::ffff:10.0.0.0/104", "dakar"), block("2001:db8::/32", "tamba")})
	is.NoErr(err)
	site, ok := table.Lookup(netip.MustParseAddr("::ffff:10.1.2.3"))
	is.True(ok)
	is.Equal(site.Region, "dakar")
	_, ok = table.Lookup(netip.Addr{})
	is.True(!ok)
}

// Guards against an invalid block that is dropped without an error.
func TestInvalidBlocks(t *testing.T) {
	is := is.New(t)
	_, err := clientmap.NewTable([]clientmap.Block{block("10.0.0.0/8", "a"), block("10.9.9.9/8", "b")})
	is.True(errors.Is(err, clientmap.ErrDuplicateBlock))
	_, err = clientmap.NewTable([]clientmap.Block{{}})
	is.True(errors.Is(err, clientmap.ErrInvalidBlock))
	_, err = clientmap.NewTable([]clientmap.Block{block("10.0.0.0/8", "")})
	is.True(errors.Is(err, clientmap.ErrInvalidBlock))
}

// Guards against memory allocations in the lookup that each request does.
func TestLookupDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var m clientmap.Map
	addr := netip.MustParseAddr("::ffff:10.1.2.3")
	_, ok := m.Lookup(addr)
	is.True(!ok)
	table, err := clientmap.NewTable([]clientmap.Block{block("10.0.0.0/8", "a")})
	is.NoErr(err)
	is.True(m.Swap(table) == nil)
	is.Equal(table.SiteCount(), 1)
	is.Equal(testing.AllocsPerRun(100, func() { _, ok = m.Lookup(addr) }), 0.0)
	is.True(ok)
}
