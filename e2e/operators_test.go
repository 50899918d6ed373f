package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/operator"
)

// leader returns the control VM that is the leader, or nil.
func (in *installation) leader() *process {
	for _, m := range in.status().Members {
		for _, c := range in.controls {
			if m.Leader && c.name == m.Name {
				return c
			}
		}
	}
	return nil
}

// awaitLeader waits until a control VM other than the given one is the leader.
func (in *installation) awaitLeader(other *process) *process {
	in.t.Helper()
	var leader *process
	eventually(in.t, "leader", func() bool {
		leader = in.leader()
		return leader != nil && leader != other
	})
	return leader
}

// submitter is an operator who submits documents and resends those without a response.
type submitter struct {
	client   *operator.Client
	name     string
	accepted []*control.SubmitReport
	raw      map[uint64][]byte
}

// submitUntilDone submits documents until the context ends, each with the number
// that the submitter expects to be the next.
func (o *submitter) submitUntilDone(ctx context.Context, t *testing.T, acknowledged *atomic.Int64) {
	number := uint64(2)
	for ctx.Err() == nil {
		raw := documentWith(t, int(number), "points_per_second: 5", "points_per_second: 5 # "+o.name)
		report, err := o.client.Submit(ctx, "trial", raw)
		switch {
		case err != nil: // resend the same bytes
		case report.Status == "accepted":
			o.accepted = append(o.accepted, report)
			o.raw[report.Number] = raw
			acknowledged.Add(1)
			number++
		default:
			number = report.NumberInForce + 1
		}
	}
}

// watchRevisions fails the test if the revision in force on a VM decreases.
func (in *installation) watchRevisions(ctx context.Context, t *testing.T) {
	highest := map[string]uint64{}
	for ctx.Err() == nil {
		for _, vm := range in.status().Environments["trial"].VMs {
			key := fmt.Sprintf("%s/%d", vm.Name, vm.Incarnation)
			if vm.Revision < highest[key] {
				t.Errorf("%s: revision %d after %d", vm.Name, vm.Revision, highest[key])
			}
			highest[key] = max(highest[key], vm.Revision)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against two documents with one number, against acknowledged documents
// that are lost with the leader, against resends that get a different response, and
// against entry VMs that miss the newest revision or return to an older one.
func TestConcurrentSubmissionsWhileLeaderIsKilled(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3)
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var acknowledged atomic.Int64
	submitters := []*submitter{}
	var work sync.WaitGroup
	for i, name := range []string{"north", "south"} {
		client := &operator.Client{Token: operatorToken}
		for j := range in.controls {
			client.Addresses = append(client.Addresses, in.operator.Addresses[(i+j)%len(in.controls)])
		}
		o := &submitter{client: client, name: name, raw: map[uint64][]byte{}}
		submitters = append(submitters, o)
		work.Go(func() { o.submitUntilDone(ctx, t, &acknowledged) })
	}
	work.Go(func() { in.watchRevisions(ctx, t) })
	awaitAcknowledged := func(n int64) {
		target := acknowledged.Load() + n
		eventually(t, "documents accepted", func() bool { return acknowledged.Load() >= target })
	}
	awaitAcknowledged(20)
	killed := in.awaitLeader(nil)
	killed.kill()
	awaitAcknowledged(20)
	cancel()
	work.Wait()
	in.checkHistory(submitters)
}

// checkHistory compares the history with the responses that the submitters got.
func (in *installation) checkHistory(submitters []*submitter) {
	t := in.t
	t.Helper()
	var history *control.HistoryReport
	eventually(t, "history", func() bool {
		var err error
		history, err = in.operator.History(t.Context(), "trial")
		return err == nil
	})
	accepted := map[uint64]control.HistoryItem{}
	for _, item := range history.Documents {
		if _, twice := accepted[item.Number]; twice {
			t.Errorf("number %d was accepted twice", item.Number)
		}
		accepted[item.Number] = item
	}
	for _, o := range submitters {
		for _, report := range o.accepted {
			if got := accepted[report.Number]; got.Digest != report.Digest || got.Revision != report.Revision {
				t.Errorf("%s: number %d was acknowledged as %s, revision %d; the history has %s, revision %d",
					o.name, report.Number, report.Digest, report.Revision, got.Digest, got.Revision)
			}
			again := in.submitAccepted(o.raw[report.Number])
			if again.Revision != report.Revision || !again.Repeated {
				t.Errorf("%s: resend of number %d got revision %d, first %d", o.name, report.Number, again.Revision, report.Revision)
			}
		}
	}
	newest := history.Documents[0].Revision
	for _, e := range in.entries {
		eventually(t, e.name+" reaches the newest revision", func() bool { return in.revisionInForce(e.name) == newest })
	}
}

// Guards against documents that are lost when a control VM loses its disk and
// another one fails right after the first was replaced.
func TestLostDataDirectoryThenLostMember(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 1)
	first := in.submitAccepted(documentWith(t, 1))
	lost := in.controls[2]
	formerID := in.memberID(lost)
	lost.kill()
	removeAll(t, in.dataDir(2))
	second := in.submitAccepted(documentWith(t, 2))
	in.restartControl(2)
	eventually(t, "replaced by a new voting member", func() bool {
		id := in.memberID(lost)
		return id != "" && id != formerID && len(in.status().Members) == 3
	})
	in.awaitVoters(3)
	in.controls[0].kill()
	third := in.submitAccepted(documentWith(t, 3))
	for number, report := range []*control.SubmitReport{first, second, third} {
		again := in.submitAccepted(documentWith(t, number+1))
		if again.Revision != report.Revision || again.Digest != report.Digest {
			t.Errorf("number %d: revision %d, acknowledged as %d", number+1, again.Revision, report.Revision)
		}
	}
	in.awaitServing(third.Revision)
}

func (in *installation) memberID(control *process) string {
	for _, m := range in.status().Members {
		if m.Name == control.name && m.Voter {
			return m.ID
		}
	}
	return ""
}
