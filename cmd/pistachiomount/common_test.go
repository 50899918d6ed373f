package main

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against two control daemons that both form a group at the first start: all
// get the same seeds, in any order, and one of them must be chosen alike by all.
func TestOneSeedIsChosenToForm(t *testing.T) {
	is := is.New(t)
	a, b, c := netip.MustParseAddrPort("10.2.0.9:80"), netip.MustParseAddrPort("10.10.0.1:80"), netip.MustParseAddrPort("10.2.0.10:80")
	for _, seeds := range [][]netip.AddrPort{{a, b, c}, {c, b, a}, {b, a, c}} {
		is.Equal(first(seeds), a.Addr())
	}
	is.True(!first(nil).IsValid())
}
