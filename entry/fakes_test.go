package entry

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	metricnoop "go.opentelemetry.io/otel/metric/noop"
	tracenoop "go.opentelemetry.io/otel/trace/noop"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/transport"
)

const errFake = errors.ConstError("fake daemon error")

// fakeControl is a control daemon whose replies come from functions. A call without a
// function panics: the function or the embedded interface is nil.
type fakeControl struct {
	apipb.DRPCControlClient
	watch  func(context.Context, *apipb.WatchRequest) (*apipb.WatchReply, error)
	chunk  func(context.Context, *apipb.ChunkRequest) (*apipb.ChunkReply, error)
	renew  func(context.Context, *apipb.RenewRequest) (*apipb.RenewReply, error)
	claim  func(context.Context, *apipb.ClaimRequest) (*apipb.ClaimReply, error)
	start  func(context.Context, *apipb.StartJobRequest) (*apipb.StartJobReply, error)
	finish func(context.Context, *apipb.FinishJobRequest) (*apipb.FinishJobReply, error)
}

func (f *fakeControl) Watch(ctx context.Context, in *apipb.WatchRequest) (*apipb.WatchReply, error) {
	return f.watch(ctx, in)
}

func (f *fakeControl) FetchChunk(ctx context.Context, in *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
	return f.chunk(ctx, in)
}

func (f *fakeControl) Renew(ctx context.Context, in *apipb.RenewRequest) (*apipb.RenewReply, error) {
	return f.renew(ctx, in)
}

func (f *fakeControl) Claim(ctx context.Context, in *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
	return f.claim(ctx, in)
}

func (f *fakeControl) StartJob(ctx context.Context, in *apipb.StartJobRequest) (*apipb.StartJobReply, error) {
	return f.start(ctx, in)
}

func (f *fakeControl) FinishJob(ctx context.Context, in *apipb.FinishJobRequest) (*apipb.FinishJobReply, error) {
	return f.finish(ctx, in)
}

// fakeDialer returns fake daemons by address and records the addresses dialed.
type fakeDialer struct {
	daemons map[string]*fakeControl

	mu     sync.Mutex
	dialed []string
}

func (d *fakeDialer) dial(address string) (apipb.DRPCControlClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialed = append(d.dialed, address)
	if daemon, ok := d.daemons[address]; ok {
		return daemon, nil
	}
	return nil, errFake
}

// takeDialed returns the addresses dialed since the last call.
func (d *fakeDialer) takeDialed() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := strings.Join(d.dialed, " ")
	d.dialed = nil
	return out
}

// processClock reads the time of the process, which is virtual in a synctest bubble.
type processClock struct{}

func (processClock) Now() clock.Instant {
	now := time.Duration(time.Now().UnixNano())
	return clock.Instant{Mono: now, Boot: now, Wall: now}
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// exampleDocument returns the example document with the given number, after replacing
// each old text in changes by the new text that follows it.
func exampleDocument(t testing.TB, number int, changes ...string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../examples/bancas.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "\nnumber: 1\n", "\nnumber: "+strconv.Itoa(number)+"\n", 1)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("the example has no %q", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return []byte(text)
}

// snapshotReply returns a reply that announces the document as a snapshot of one chunk.
func snapshotReply(raw []byte, revision uint64) *apipb.WatchReply {
	return &apipb.WatchReply{
		Kind: apipb.WatchKind_WATCH_KIND_SNAPSHOT, Revision: revision, Number: revision,
		Digest: document.Digest(raw), Confirmed: true, SnapshotChunks: 1,
	}
}

func unchangedReply(v *view) *apipb.WatchReply {
	return &apipb.WatchReply{
		Kind: apipb.WatchKind_WATCH_KIND_UNCHANGED, Revision: v.revision, Digest: v.digest, Confirmed: true,
	}
}

// newTestDaemon returns a daemon that uses fake control daemons.
func newTestDaemon(t testing.TB, c clock.Clock, d *fakeDialer, controls ...string) *Daemon {
	t.Helper()
	daemon, err := New(Config{
		VM: "vm", Region: "bogota", FailureDomain: "bogota-1", Deployment: "bancas",
		Environment: apipb.Environment_ENVIRONMENT_PRODUCTION, Advertise: "127.0.0.1:1", Controls: controls,
		Security: &transport.Security{Insecure: true}, Ready: settings.NewReady(), Clock: c, Log: discardLog(),
		Meter: metricnoop.Meter{}, Tracer: tracenoop.NewTracerProvider().Tracer(""),
	})
	if err != nil {
		t.Fatal(err)
	}
	daemon.controls.dialer = d
	return daemon
}
