package control

import (
	"context"
	"flag"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/transport"
)

// defaultRapidChecks keeps the package's tests within 30 s under the race detector.
const defaultRapidChecks = "30"

func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", defaultRapidChecks)
	}
	goleak.VerifyTestMain(m)
}

// waitLimit bounds waits on real sockets. No result depends on it.
const waitLimit = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// newDaemon returns a daemon on loopback sockets that does not run yet.
func newDaemon(t *testing.T, name string, rpc net.Listener, peers ...string) *Daemon {
	t.Helper()
	d, err := New(Config{
		Name: name, Deployment: "bancas", DataDir: t.TempDir(), Peers: peers,
		OperatorTokens: map[string]string{tokenDigest: "ana"}, RPCListener: rpc, HTTPListener: listen(t),
		Security: &transport.Security{Insecure: true}, Clock: clock.NewSystem(), Log: discardLog(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// runDaemon starts the daemon and returns a function that stops it.
func runDaemon(t *testing.T, d *Daemon) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	return func() {
		t.Helper()
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("planned stop: %v", err)
			}
		case <-time.After(waitLimit):
			t.Error("the daemon did not stop")
		}
	}
}

// Guards against a daemon that joins a cluster with the membership of an interrupted
// init: it would form a majority by itself.
func TestUnfinishedInitCannotJoinAnotherCluster(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, "a", listen(t))
	state, err := consensus.Bootstrap([]*apipb.Member{d.self})
	is.NoErr(err)
	is.NoErr(d.log.SaveSnapshot(state.Snapshot))
	is.NoErr(d.log.Close())
	again, err := New(d.cfg)
	is.NoErr(err)
	defer func() { is.NoErr(again.log.Close()) }()
	_, err = again.adoptCluster(5)
	is.True(errors.Is(err, ErrUnfinishedInit))
	is.Equal(again.log.Identity().ClusterID, uint64(0)) // also after a restart
	_, err = again.initialise(t.Context())
	is.NoErr(err) // an operator can repeat it
}

func addressOf(l net.Listener) string { return l.Addr().String() }

// Guards against a second cluster beside one that cannot be reached, and against a daemon
// that does not exit after a planned stop.
func TestInitFailsIfClusterMayExist(t *testing.T) {
	is := is.New(t)
	rpcA, rpcB, gone := listen(t), listen(t), listen(t)
	is.NoErr(gone.Close())
	alone := newDaemon(t, "c", listen(t), addressOf(gone))
	_, err := alone.initialise(t.Context())
	is.True(errors.Is(err, ErrPeerUnreachable))
	is.NoErr(alone.log.Close())

	a := newDaemon(t, "a", rpcA, addressOf(rpcA))
	stop := runDaemon(t, a)
	defer stop()
	_, err = a.initialise(t.Context())
	is.NoErr(err)
	_, err = a.initialise(t.Context())
	is.True(errors.Is(err, ErrAlreadyInitialised))
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err := a.currentEngine(); err == nil {
			break
		}
	}
	b := newDaemon(t, "b", rpcB, addressOf(rpcA), addressOf(rpcB))
	_, err = b.initialise(t.Context())
	is.True(errors.Is(err, ErrAlreadyInitialised))
	is.NoErr(b.log.Close())
	b.peers.Close()
}

// Guards against two operators who initialise two daemons at the same time and so form
// two clusters.
func TestSimultaneousInitFormsOneClusterAtMost(t *testing.T) {
	rpcA, rpcB := listen(t), listen(t)
	both := []*Daemon{
		newDaemon(t, "a", rpcA, addressOf(rpcA), addressOf(rpcB)),
		newDaemon(t, "b", rpcB, addressOf(rpcA), addressOf(rpcB)),
	}
	for _, d := range both {
		defer runDaemon(t, d)()
	}
	formed := make(chan bool, len(both))
	for _, d := range both {
		go func() {
			_, err := d.initialise(t.Context())
			formed <- err == nil
		}()
	}
	if first, second := <-formed, <-formed; first && second {
		t.Error("two clusters were formed")
	}
}
