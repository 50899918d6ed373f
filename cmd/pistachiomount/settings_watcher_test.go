package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"pistachiomount.example/pistachiomount/platform"
)

const settingsText = `nodeName = "vm-1"
ip = "10.1.0.15"
zone = "z1"
region = "r1"
internalPorts = [7520,7535]
seeds = ["10.1.0.17:8066"]
`

// Guards against SIGHUP terminating the process, and against an invalid file replacing
// the settings in force.
func TestSIGHUPReloadsSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	log, hook := test.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := newSettingsWatcher(log, notifyHangups())
	applied := make(chan *platform.Settings)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.run(ctx, func(s *platform.Settings) { applied <- s })
	}()
	is.NoErr(os.WriteFile(path, []byte("seeds = ["), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for last := hook.LastEntry(); last == nil || last.Level != logrus.ErrorLevel; last = hook.LastEntry() {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(settingsText, "10.1.0.17", "10.2.0.17", 1)), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	s := <-applied
	is.Equal(peerAddresses(s), []string{"10.2.0.17:7520"})
	cancel()
	<-ended
}
