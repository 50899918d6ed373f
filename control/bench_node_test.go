package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/consensus"
)

// benchClock follows the virtual time of a synctest bubble.
type benchClock struct{}

func (benchClock) Now() clock.Instant {
	d := time.Duration(time.Now().UnixNano())
	return clock.Instant{Mono: d, Boot: d, Wall: d}
}

// benchNode is one control daemon without sockets: its services are called
// directly, and its disk survives its crashes.
type benchNode struct {
	b       *bench
	name    string
	member  *apipb.Member
	storage *memStorage
	live    atomic.Pointer[Daemon] // nil before the first start
	cancel  context.CancelFunc
	ended   chan error
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Send implements Sender.
func (n *benchNode) Send(to *apipb.Member, messages []*apipb.ConsensusMessage) {
	n.b.net.send(n.member, to.RpcAddress, messages)
}

// engine returns the last one started, or nil.
func (n *benchNode) engine() *Engine {
	if d := n.live.Load(); d != nil {
		return d.engine
	}
	return nil
}

// start runs an engine on what the storage holds.
func (n *benchNode) start() {
	n.b.starts++
	engine, err := NewEngine(EngineConfig{
		ClusterID: benchCluster, Self: n.member, Persisted: n.storage.load(), Storage: n.storage,
		Sender: n, Clock: benchClock{}, Log: n.b.log, Seed: n.b.seed<<16 + n.b.starts,
	})
	if err != nil {
		n.b.t.Fatal(err)
	}
	d := &Daemon{
		cfg: Config{
			Name: n.name, Deployment: "bancas", Clock: benchClock{}, Log: n.b.log,
			OperatorTokens: map[string]string{tokenDigest: "ana"}, Quarantine: time.Second,
		},
		memberID: n.member.Id, self: n.member, formedID: make(chan uint64, 1), engine: engine,
		dialForwarding: func(address string) (apipb.DRPCForwardingClient, error) {
			return &benchForwarding{n.b.net, n.name, address}, nil
		},
	}
	d.ownership = newOwnership(&d.cfg)
	if d.metrics, err = newDaemonMetrics(nil); err != nil {
		n.b.t.Fatal(err)
	}
	n.ended = make(chan error, 1)
	n.live.Store(d)
	ctx, cancel := context.WithCancel(n.b.ctx)
	n.cancel = cancel
	go engine.promoteLearners(ctx)
	go func(ended chan error) { ended <- engine.Run(ctx) }(n.ended)
}

// crash stops the engine without a hand-over.
func (n *benchNode) crash() {
	n.cancel()
	<-n.engine().done
}

func (n *benchNode) restart() {
	n.crash()
	n.start()
}

// freeze stops the engine's loop for the duration, as a paused process would.
func (n *benchNode) freeze(d time.Duration) {
	go func() { _ = n.engine().do(n.b.ctx, func() { time.Sleep(d) }) }()
}

func (n *benchNode) service() *controlService { return &controlService{daemon: n.live.Load()} }

// status returns the node's view, or the zero value when it is stopped.
func (n *benchNode) status() (s consensus.Status) {
	e := n.engine()
	_ = e.do(n.b.ctx, func() { s = e.node.Status() })
	return s
}

// request makes an operator's HTTP request and decodes the answer.
func (n *benchNode) request(method, path, token string, body []byte, out any) int {
	r := httptest.NewRequestWithContext(n.b.ctx, method, path, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	n.live.Load().handler().ServeHTTP(w, r)
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			n.b.t.Errorf("%s %s: %v in %q", method, path, err, w.Body)
		}
	}
	return w.Code
}

// submit sends a document once.
func (n *benchNode) submit(env string, raw []byte) (int, SubmitReport) {
	var report SubmitReport
	code := n.request(http.MethodPost, "/v1/environments/"+env+"/documents", operatorToken, raw, &report)
	return code, report
}

// propose submits a document without decoding it, for tests of many changes. The
// answer is nil if none came.
func (n *benchNode) propose(number uint64, variant int) *apipb.SubmitResult {
	reply, err := n.service().run(n.b.ctx, &apipb.Command{Body: &apipb.Command_SubmitDocument{
		SubmitDocument: &apipb.SubmitDocument{Environment: trial, Document: documentOf(number, variant), Number: number},
	}})
	if err != nil {
		return nil
	}
	return reply.Submit
}

// mustSubmit resends a document until it gets a final answer, which must be acceptance.
func (n *benchNode) mustSubmit(env string, raw []byte) SubmitReport {
	n.b.t.Helper()
	for range 20 {
		code, report := n.submit(env, raw)
		if code == http.StatusOK {
			return report
		}
		if code < http.StatusInternalServerError {
			n.b.t.Fatalf("document refused: %d %+v", code, report)
		}
		time.Sleep(200 * time.Millisecond)
	}
	n.b.t.Fatal("no answer to a document")
	return SubmitReport{}
}
