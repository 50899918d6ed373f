package store_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/store"
)

const (
	trial      = apipb.Environment_ENVIRONMENT_TRIAL
	production = apipb.Environment_ENVIRONMENT_PRODUCTION
)

type harness struct {
	t     testing.TB
	store *store.Store
	index uint64
	nowMS int64
}

func newHarness(t testing.TB) *harness {
	return &harness{t: t, store: store.New(), nowMS: 1000}
}

func (h *harness) apply(command *apipb.Command) store.Result {
	h.t.Helper()
	h.index++
	command.TimeMs = h.nowMS
	data, err := proto.Marshal(command)
	if err != nil {
		h.t.Fatal(err)
	}
	result, err := h.store.Apply(&apipb.LogEntry{Index: h.index, Data: data})
	if err != nil {
		h.t.Fatal(err)
	}
	return result
}

func (h *harness) submit(env apipb.Environment, number uint64, raw string) *apipb.SubmitResult {
	return h.apply(&apipb.Command{Body: &apipb.Command_SubmitDocument{SubmitDocument: &apipb.SubmitDocument{
		Environment: env, Number: number, Document: []byte(raw),
	}}}).Submit
}

func (h *harness) claim(key, body string, attempt uint64) apipb.ClaimStatus {
	return h.apply(&apipb.Command{Body: &apipb.Command_Claim{Claim: &apipb.ClaimRequest{
		Customer: "c", Route: "/r", IdempotencyKey: key, BodyDigest: []byte(body), AttemptId: attempt,
	}}}).Claim.Status
}

func (h *harness) complete(key string, attempt uint64, outcome *apipb.Outcome) bool {
	return h.apply(&apipb.Command{Body: &apipb.Command_Complete{Complete: &apipb.CompleteRequest{
		Customer: "c", Route: "/r", IdempotencyKey: key, AttemptId: attempt, Outcome: outcome,
	}}}).Complete.Recorded
}

func (h *harness) enqueue(id string, idempotent bool) *apipb.EnqueueReply {
	return h.apply(&apipb.Command{Body: &apipb.Command_Enqueue{Enqueue: &apipb.EnqueueRequest{Job: &apipb.Job{
		Id: id, Customer: "c", Environment: trial, Service: "s", Idempotent: idempotent, DeadlineMs: 1000,
	}}}}).Enqueue
}

func (h *harness) start(attempt uint64) *apipb.Job {
	return h.apply(&apipb.Command{Body: &apipb.Command_StartJob{StartJob: &apipb.StartJobRequest{
		Environment: trial, AttemptId: attempt,
	}}}).StartJob.Job
}

// Guards against accepting two documents with the same number, and against a
// resend that gets another result than the first submission.
func TestOneDocumentAcceptedPerNumber(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.submit(trial, 1, "a")
	is.Equal(first.Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	rejected := h.submit(trial, 1, "b")
	is.Equal(rejected.Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(rejected.NumberInForce, uint64(1))
	is.Equal(rejected.DigestInForce, first.Digest)
	h.submit(trial, 2, "c")
	again := h.submit(trial, 1, "a")
	is.Equal(again.Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(again.Revision, first.Revision)
	is.True(again.Repeated)
	is.Equal(string(h.store.InForce(trial).Raw), "c") // the resend does not revert
}

// Guards against production documents that were not accepted in trial, or that go
// back to an earlier number.
func TestPromotionNeedsTheTrialDigest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.submit(production, 1, "a").Status, apipb.SubmitStatus_SUBMIT_STATUS_NOT_IN_TRIAL)
	h.submit(trial, 1, "a")
	h.submit(trial, 2, "b")
	is.Equal(h.submit(production, 2, "b").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(h.submit(production, 1, "a").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(h.store.InForce(production).Number, uint64(2))
}

// Guards against granting a claim to a second attempt, in any order of claims and
// completions.
func TestClaimIsGrantedToOneAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		owner, done := uint64(0), false
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			attempt := rapid.Uint64Range(1, 4).Draw(rt, "attempt")
			if rapid.Bool().Draw(rt, "complete") {
				recorded := h.complete("k", attempt, &apipb.Outcome{StatusCode: 201})
				if recorded != (owner == attempt) {
					rt.Fatalf("completion by %d recorded: %v, owner %d", attempt, recorded, owner)
				}
				done = done || recorded
				continue
			}
			status := h.claim("k", "body", attempt)
			granted := status == apipb.ClaimStatus_CLAIM_STATUS_GRANTED
			if granted && (done || owner != 0 && owner != attempt) {
				rt.Fatalf("granted to %d although %d holds it (done %v)", attempt, owner, done)
			}
			if granted {
				owner = attempt
			}
		}
	})
}

// Guards against accepting another body for a used key, and against a released or
// expired claim that still blocks its key.
func TestClaimMismatchAndRelease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.claim("k", "one", 1), apipb.ClaimStatus_CLAIM_STATUS_GRANTED)
	is.Equal(h.claim("k", "two", 2), apipb.ClaimStatus_CLAIM_STATUS_MISMATCH)
	is.True(h.complete("k", 1, &apipb.Outcome{NotRun: true}))
	is.Equal(h.claim("k", "two", 2), apipb.ClaimStatus_CLAIM_STATUS_GRANTED)
	h.nowMS += store.ClaimRetention.Milliseconds()
	is.Equal(h.claim("k", "three", 3), apipb.ClaimStatus_CLAIM_STATUS_GRANTED)
}

// Guards against losing a job together with its worker, and against running a
// non-idempotent job twice.
func TestJobsOfLostWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.enqueue("once", false)
	h.enqueue("repeatable", true)
	is.Equal(h.start(1).Id, "once")
	is.Equal(h.start(2).Id, "repeatable")
	is.Equal(h.start(3), nil)
	h.nowMS += 1000 + store.JobGracePeriod.Milliseconds()
	is.Equal(h.start(4).Id, "repeatable")
	is.Equal(h.start(5), nil)
	is.Equal(h.store.Job("once", "c").State, apipb.JobState_JOB_STATE_UNKNOWN)
	is.Equal(h.store.Job("once", "other"), nil)
}

// Guards against a delayed duplicate of a start request that starts a second job.
func TestDuplicateStartTakesNoSecondJob(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.enqueue("one", false)
	h.enqueue("two", false)
	is.Equal(h.start(1).Id, "one")
	is.Equal(h.start(1).Id, "one")
	h.apply(&apipb.Command{Body: &apipb.Command_FinishJob{FinishJob: &apipb.FinishJobRequest{
		JobId: "one", AttemptId: 1, Outcome: &apipb.Outcome{StatusCode: 200},
	}}})
	is.Equal(h.start(1), nil)
	is.Equal(h.store.QueuedJobs(trial), 1)
}

// Guards against a member restored from a snapshot that then differs from one
// that applied every entry.
func TestSnapshotThenLogEqualsLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reference := newHarness(t)
		steps := rapid.IntRange(1, 40).Draw(rt, "steps")
		snapshotStep := rapid.IntRange(0, steps).Draw(rt, "cut")
		restored := newHarness(t)
		for i := range steps {
			if i == snapshotStep {
				data, err := reference.store.Snapshot()
				if err != nil || restored.store.Restore(data) != nil {
					rt.Fatal("snapshot failed", err)
				}
				restored.index, restored.nowMS = reference.index, reference.nowMS
			}
			step := drawStep(rt)
			step(reference)
			if i >= snapshotStep {
				step(restored)
			}
		}
		a, _ := reference.store.Snapshot()
		b, _ := restored.store.Snapshot()
		if snapshotStep < steps && !bytes.Equal(a, b) {
			rt.Fatal("restored state differs from fully applied state")
		}
	})
}

func drawStep(rt *rapid.T) func(*harness) {
	kind := rapid.IntRange(0, 6).Draw(rt, "kind")
	n := rapid.Uint64Range(1, 4).Draw(rt, "n")
	wait := rapid.Int64Range(0, 40_000).Draw(rt, "wait")
	return func(h *harness) {
		h.nowMS += wait
		switch kind {
		case 0:
			h.submit(trial, n, fmt.Sprint("d", n))
		case 1:
			h.submit(production, n, fmt.Sprint("d", n))
		case 2:
			h.claim(fmt.Sprint(n), "b", n)
		case 3:
			h.complete(fmt.Sprint(n), n, &apipb.Outcome{Body: []byte("x"), NotRun: n == 2})
		case 4:
			h.enqueue(fmt.Sprint(n), n%2 == 0)
		case 5:
			h.start(n)
		case 6:
			h.apply(&apipb.Command{Body: &apipb.Command_FinishJob{FinishJob: &apipb.FinishJobRequest{
				JobId: fmt.Sprint(n), AttemptId: n, Outcome: &apipb.Outcome{StatusCode: 200}, Requeue: n == 3,
			}}})
		}
	}
}
