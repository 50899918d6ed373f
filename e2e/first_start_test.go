package e2e_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a system that never starts because the disk of the control daemon that forms the group
// refused its first writes.
func TestSystemStartsThoughADiskRefusesItsFirstWrites(t *testing.T) {
	t.Parallel()
	obstacle := ""
	f := startFleet(&fleet{t: t, slots: 8, prepare: func(f *fleet) {
		obstacle = filepath.Join(f.dataDir(0), "identity.tmp")
		if err := os.MkdirAll(filepath.Join(obstacle, "x"), 0o700); err != nil {
			f.t.Fatal(err)
		}
	}}, 3, 1, 3)
	time.Sleep(2500 * time.Millisecond) // the daemon has tried and failed more than once
	if err := os.RemoveAll(obstacle); err != nil {
		t.Fatal(err)
	}
	f.putConfig(1, 0)
	newSoak(f).awaitServing()
}
