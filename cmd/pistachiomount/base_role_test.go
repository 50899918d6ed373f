package main

import (
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/platform"
	"pistachiomount.example/pistachiomount/telemetry"
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

// Guards against a reload that terminates a process while it starts.
func TestSIGHUPDuringStartIsKept(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	t.Setenv(platform.SettingsVariable, path)
	role := &baseRole{Settings: telemetry.Settings{LogLevel: "info", Traces: "off"}}
	started := make(chan error, 1)
	go func() {
		_, _, err := role.start("gateway")
		started <- err
	}()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the role reads its settings
	is.NoErr(err)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = file.WriteString(settingsText)
	is.NoErr(err)
	is.NoErr(file.Close())
	is.NoErr(<-started)
	is.Equal(<-role.hangups, os.Signal(syscall.SIGHUP))
}

// Guards against metrics at an address other than the one in the deployment file: that file names
// one port for all machines, while the internal ports are assigned anew.
func TestMetricsPortFlagOverridesInternalPort(t *testing.T) {
	is := is.New(t)
	s := &platform.Settings{Address: netip.MustParseAddr("10.0.0.4"), FirstInternalPort: 7560, LastInternalPort: 7575}
	is.Equal((&baseRole{MetricsPort: 9464}).internalHTTPAddress(s), "10.0.0.4:9464")
	is.Equal((&baseRole{}).internalHTTPAddress(s), "10.0.0.4:7561")
}
