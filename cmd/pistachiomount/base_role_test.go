package main

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/platform"
)

// Guards against two control daemons that both form a group at the first start: all
// get the same seeds, in any order, and one of them must be chosen alike by all.
func TestLowestSeedFormsCluster(t *testing.T) {
	is := is.New(t)
	a, b, c := netip.MustParseAddrPort("10.2.0.9:80"), netip.MustParseAddrPort("10.10.0.1:80"), netip.MustParseAddrPort("10.2.0.10:80")
	for _, seeds := range [][]netip.AddrPort{{a, b, c}, {c, b, a}, {b, a, c}} {
		is.Equal(lowestAddress(seeds), a.Addr())
	}
	is.True(!lowestAddress(nil).IsValid())
}

// Guards against metrics at another address than the deploy file names: it names one
// port for all machines, while the ports for own traffic are drawn anew.
func TestMetricsPortFlagOverridesInternalPort(t *testing.T) {
	is := is.New(t)
	s := &platform.Settings{Address: netip.MustParseAddr("10.0.0.4"), FirstInternalPort: 7560, LastInternalPort: 7575}
	is.Equal((&baseRole{MetricsPort: 9464}).internalHTTPAddress(s), "10.0.0.4:9464")
	is.Equal((&baseRole{}).internalHTTPAddress(s), "10.0.0.4:7561")
}
