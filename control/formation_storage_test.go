package control

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against a daemon that stays without a cluster for good because its disk refused a write while it
// formed one: nobody else may form it.
func TestDaemonEndsIfItCannotWriteTheNewCluster(t *testing.T) {
	for _, blocked := range []string{"0000000000000001.snap.tmp", "identity.tmp"} {
		t.Run(blocked, func(t *testing.T) {
			is := is.New(t)
			rpc := listen(t)
			d := newDaemonWithPeers(t, "c0", rpc, []string{addressOf(rpc)}, true)
			obstacle := filepath.Join(d.cfg.DataDir, blocked, "x")
			is.NoErr(os.MkdirAll(obstacle, 0o700))
			is.True(errors.Is(d.Run(context.Background()), ErrStorage))
			is.True(!d.BelongsToCluster())

			is.NoErr(os.RemoveAll(filepath.Dir(obstacle)))
			cfg := d.cfg
			cfg.RPCListener, cfg.HTTPListener = listen(t), listen(t)
			cfg.Peers = []string{addressOf(cfg.RPCListener)}
			again, err := New(cfg)
			is.NoErr(err)
			defer runDaemon(t, again)()
			awaitVoters(t, again, 1)
			is.True(again.BelongsToCluster())
		})
	}
}
