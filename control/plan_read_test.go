package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/plan"
)

// mustSubmitPlan submits a plan with a source of the given size at any daemon.
func (b *simCluster) mustSubmitPlan(number uint64, bytesOfSource int) []byte {
	b.t.Helper()
	source := longDocument(number, bytesOfSource)
	b.eventually("a plan is accepted", func() bool {
		_, err := b.leader().daemon.Load().SubmitPlan(b.ctx, &plan.Plan{Number: number, Base: number - 1}, source)
		return err == nil
	})
	return source
}

// awaitPlan waits until the node has a plan.
func (n *simNode) awaitPlan() {
	n.cluster.t.Helper()
	n.cluster.eventually("a plan at "+n.name, func() bool {
		var source []byte
		err := n.engine().do(n.cluster.ctx, func() { source = n.engine().store.PlanSource() })
		return err == nil && source != nil
	})
}

// slowWriter takes what a connection between regions passes, and records when the first bytes were written.
type slowWriter struct {
	bytes.Buffer
	first time.Time
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.first.IsZero() {
		w.first = time.Now()
	}
	time.Sleep(time.Duration(len(p)) * time.Second / regionBandwidth)
	return w.Buffer.Write(p)
}

// Guards against a long configuration that callers in other regions cannot read, because it is sent only after it
// was confirmed.
func TestLongPlanIsSentWhileItIsConfirmed(t *testing.T) {
	const callerPatience = time.Second
	synctest.Test(t, func(t *testing.T) {
		simulateWith(t, 1, 3, func(b *simCluster) {
			is := is.New(t)
			source := b.mustSubmitPlan(1, 900<<10)
			far := b.others(b.leader())[0]
			far.awaitPlan()
			began := time.Now()
			read, err := far.daemon.Load().ReadPlan(b.ctx)
			is.NoErr(err)
			w := &slowWriter{}
			is.NoErr(read.Send(w))
			is.True(bytes.Equal(w.Bytes(), source))
			is.True(w.first.Sub(began) < 10*time.Millisecond)
			is.True(time.Since(began) < callerPatience)
		})
	})
}

// Guards against a plan that is read completely from a daemon that cannot confirm it, or that does not have the
// newest one yet.
func TestPlanThatIsNotConfirmedIsNotSentToItsEnd(t *testing.T) {
	for _, size := range []int{1 << 10, 900 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulateWith(t, 1, 3, func(b *simCluster) {
					is := is.New(t)
					first := b.mustSubmitPlan(1, size)
					leader := b.leader()
					far := b.others(leader)[0]
					far.awaitPlan()

					b.net.setIsolated(far.name, true)
					read, err := far.daemon.Load().ReadPlan(b.ctx) // before it has missed the leader
					if err == nil {
						err = read.Send(io.Discard)
					}
					is.True(err != nil)
					time.Sleep(2 * time.Second)
					_, err = far.daemon.Load().ReadPlan(b.ctx)
					is.True(errors.Is(err, ErrNoLeader))

					second := b.mustSubmitPlan(2, size) // acknowledged without the isolated one
					b.net.setIsolated(far.name, false)
					ctx, cancel := context.WithTimeout(b.ctx, 20*time.Second)
					defer cancel()
					for ctx.Err() == nil {
						read, err := far.daemon.Load().ReadPlan(ctx)
						if err != nil {
							time.Sleep(time.Millisecond)
							continue
						}
						w := &slowWriter{}
						err = read.Send(w)
						is.True(len(w.Bytes()) < len(first) || !bytes.Equal(w.Bytes(), first))
						if err == nil {
							is.True(bytes.Equal(w.Bytes(), second))
							return
						}
					}
					t.Error("the second plan was never read")
				})
			})
		})
	}
}

// Guards against a daemon that resumes from a pause, or has just started, and answers a read with the plan from before.
func TestResumedDaemonReadsNoOldPlan(t *testing.T) {
	for name, interrupt := range map[string]func(*simNode) (resume func()){
		"paused": func(n *simNode) func() {
			n.pause(10 * time.Second)
			return func() {}
		},
		"restarted": func(n *simNode) func() {
			n.crash()
			return n.start
		},
	} {
		for _, size := range []int{1 << 10, 900 << 10} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simulateWith(t, 1, 3, func(b *simCluster) {
						b.mustSubmitPlan(1, size)
						n := b.leader()
						resume := interrupt(n)
						next := b.leader(n)
						newest := longDocument(2, size)
						b.eventually("the second plan is accepted", func() bool {
							_, err := next.daemon.Load().SubmitPlan(b.ctx, &plan.Plan{Number: 2, Base: 1}, newest)
							return err == nil
						})
						resume()
						b.eventually("the second plan is read", func() bool { return n.readsOnly(newest) })
					})
				})
			})
		}
	}
}

// readsOnly reads the plan and reports whether that succeeded. It fails the test if another plan was read.
func (n *simNode) readsOnly(expected []byte) bool {
	n.cluster.t.Helper()
	read, err := n.daemon.Load().ReadPlan(n.cluster.ctx)
	if err != nil {
		return false
	}
	w := &slowWriter{}
	if read.Send(w) != nil {
		return false
	}
	if !bytes.Equal(w.Bytes(), expected) {
		n.cluster.t.Error("an old plan was read")
	}
	return true
}
