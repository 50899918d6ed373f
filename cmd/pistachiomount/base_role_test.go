package main

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/platform"
)

// Guards against two control daemons that both form a cluster at the first start: all get the
// same seeds in any order and must agree on the one that forms it.
func TestLowestSeedFormsCluster(t *testing.T) {
	is := is.New(t)
	a, b, c := netip.MustParseAddrPort("10.2.0.9:80"), netip.MustParseAddrPort("10.10.0.1:80"), netip.MustParseAddrPort("10.2.0.10:80")
	for _, seeds := range [][]netip.AddrPort{{a, b, c}, {c, b, a}, {b, a, c}} {
		is.Equal(lowestAddress(seeds), a.Addr())
	}
	is.True(!lowestAddress(nil).IsValid())
}

// Guards against metrics at an address other than the one in the deployment file: that file names
// one port for all machines, while the internal ports are assigned anew.
func TestMetricsPortFlagOverridesInternalPort(t *testing.T) {
	is := is.New(t)
	s := &platform.Settings{Address: netip.MustParseAddr("10.0.0.4"), FirstInternalPort: 7560, LastInternalPort: 7575}
	is.Equal((&baseRole{MetricsPort: 9464}).internalHTTPAddress(s), "10.0.0.4:9464")
	is.Equal((&baseRole{}).internalHTTPAddress(s), "10.0.0.4:7561")
}
