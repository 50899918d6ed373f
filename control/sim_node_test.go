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

// processClock reads the clock of the process, which is virtual in a synctest bubble.
type processClock struct{}

func (processClock) Now() clock.Instant {
	d := time.Duration(time.Now().UnixNano())
	return clock.Instant{Mono: d, Boot: d, Wall: d}
}

// simNode is a control daemon without sockets. Its services are called directly, and
// its storage survives crashes.
type simNode struct {
	cluster *simCluster
	name    string
	member  *apipb.Member
	storage *memStorage
	daemon  atomic.Pointer[Daemon] // nil before the first start
	// sender sends over links with a bandwidth; nil if bandwidth is not simulated.
	sender *PeerSender
	cancel context.CancelFunc
	ended  chan error
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Send implements Sender.
func (n *simNode) Send(to *apipb.Member, messages []*apipb.ConsensusMessage) {
	if n.sender != nil {
		n.sender.Send(to, messages)
		return
	}
	n.cluster.net.send(n.member, to.RpcAddress, messages)
}

// engine returns the engine that was started last, or nil.
func (n *simNode) engine() *Engine {
	if d := n.daemon.Load(); d != nil {
		return d.engine
	}
	return nil
}

// start runs an engine on the state in the storage.
func (n *simNode) start() {
	n.cluster.starts++
	engine, err := NewEngine(EngineConfig{
		ClusterID: simClusterID, Self: n.member, Persisted: n.storage.load(), Storage: n.storage,
		Sender: n, Clock: processClock{}, Log: n.cluster.log, Seed: n.cluster.seed<<16 + n.cluster.starts,
	})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	d := &Daemon{
		cfg: Config{
			Name: n.name, Deployment: "bancas", Clock: processClock{}, Log: n.cluster.log,
			OperatorTokens: map[string]string{tokenDigest: "ana"}, Quarantine: time.Second,
		},
		memberID: n.member.Id, self: n.member, formedID: make(chan uint64, 1), engine: engine,
		dialForwarding: func(address string) (apipb.DRPCForwardingClient, error) {
			return &simForwarding{n.cluster.net, n.name, address}, nil
		},
	}
	d.ownership = newOwnership(&d.cfg)
	if d.metrics, err = newDaemonMetrics(nil); err != nil {
		n.cluster.t.Fatal(err)
	}
	if n.cluster.net.bandwidth > 0 {
		n.sender = NewPeerSender(PeerSenderConfig{
			ClusterID: simClusterID, Self: n.member, Log: n.cluster.log, Failed: engine.reportFailure,
			Deliver: func(ctx context.Context, address string, batch *apipb.MessageBatch) error {
				return n.cluster.net.transfer(ctx, n.name, address, batch)
			},
		})
	}
	n.ended = make(chan error, 1)
	n.daemon.Store(d)
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	n.cancel = cancel
	go engine.promoteLearners(ctx)
	go func(ended chan error) { ended <- engine.Run(ctx) }(n.ended)
}

// crash stops the engine without a transfer of leadership.
func (n *simNode) crash() {
	n.cancel()
	<-n.engine().done
	n.closeSender()
}

// closeSender ends the goroutines that send over links with a bandwidth.
func (n *simNode) closeSender() {
	if n.sender != nil {
		n.sender.Close()
	}
}

func (n *simNode) restart() {
	n.crash()
	n.start()
}

// pause blocks the engine's loop for the duration, like a paused process.
func (n *simNode) pause(d time.Duration) {
	go func() { _ = n.engine().do(n.cluster.ctx, func() { time.Sleep(d) }) }()
}

func (n *simNode) service() *controlService { return &controlService{daemon: n.daemon.Load()} }

// status returns the node's consensus status, or the zero value if it is stopped.
func (n *simNode) status() (s consensus.Status) {
	e := n.engine()
	_ = e.do(n.cluster.ctx, func() { s = e.node.Status() })
	return s
}

// request makes an operator's HTTP request and decodes the response.
func (n *simNode) request(method, path, token string, body []byte, out any) int {
	r := httptest.NewRequestWithContext(n.cluster.ctx, method, path, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	n.daemon.Load().handler().ServeHTTP(w, r)
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			n.cluster.t.Errorf("%s %s: %v in %q", method, path, err, w.Body)
		}
	}
	return w.Code
}

// submit sends a document once.
func (n *simNode) submit(env string, raw []byte) (int, SubmitReport) {
	var report SubmitReport
	code := n.request(http.MethodPost, "/v1/environments/"+env+"/documents", operatorToken, raw, &report)
	return code, report
}

// propose submits a document without decoding it, for tests with many changes. It
// returns nil if there was no answer.
func (n *simNode) propose(number uint64, variant int) *apipb.SubmitResult {
	reply, err := n.service().run(n.cluster.ctx, &apipb.Command{Body: &apipb.Command_SubmitDocument{
		SubmitDocument: &apipb.SubmitDocument{Environment: trial, Document: documentOf(number, variant), Number: number},
	}})
	if err != nil {
		return nil
	}
	return reply.Submit
}

// mustSubmit resends a document until it gets a final answer, which must be acceptance.
func (n *simNode) mustSubmit(env string, raw []byte) SubmitReport {
	n.cluster.t.Helper()
	for range 20 {
		code, report := n.submit(env, raw)
		if code == http.StatusOK {
			return report
		}
		if code < http.StatusInternalServerError {
			n.cluster.t.Fatalf("document rejected: %d %+v", code, report)
		}
		time.Sleep(200 * time.Millisecond)
	}
	n.cluster.t.Fatal("no answer to a document")
	return SubmitReport{}
}
