package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/standin"
)

func byIdempotencyKey(k standin.RequestKey) string { return k.IdempotencyKey }

// booking holds the responses to one request that must not run twice.
type booking struct {
	key       string
	responses []response
}

// book sends the same booking to the entry VMs one after the other until one
// responds with a final result or each was tried three times.
func (in *installation) book(b *booking, first int) {
	for n := range 3 * len(in.entries) {
		entry := in.entries[(first+n)%len(in.entries)]
		if entry.ended() {
			continue
		}
		got := request(in.t, entry.address("callers"), http.MethodPost, "/bookings/"+b.key, "demo-key-catedral-primada",
			map[string]string{"Idempotency-Key": b.key})
		b.responses = append(b.responses, got)
		if reason, _ := got.reason(); got.err == nil && (got.status < 300 || reason == "outcome_unknown") {
			return
		}
	}
}

// notRun reports whether every response said that the request was not run.
func (b *booking) notRun() bool {
	for _, a := range b.responses {
		if _, run := a.reason(); a.err != nil || run != "not_run" {
			return false
		}
	}
	return len(b.responses) > 0
}

// Guards against requests that run twice when an entry VM is killed, an upstream
// cuts its responses or the leader fails while callers repeat them elsewhere,
// and against rejections with not_run for requests that ran.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 4, "--service-time", "40ms")
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	in.spreadGrants()
	const count = 240
	bookings := make([]*booking, count)
	var senders sync.WaitGroup
	for sender := range 6 {
		senders.Go(func() {
			for i := sender; i < count; i += 6 {
				bookings[i] = &booking{key: fmt.Sprintf("booking-%d", i)}
				in.book(bookings[i], i)
			}
		})
	}
	in.awaitMoreRequests("/bookings", 10)
	setBehaviour(in.upstreams[0], "", standin.Behaviour{Mode: standin.ModeCut})
	in.awaitMoreRequests("/bookings", 10)
	in.entries[0].kill()
	in.awaitMoreRequests("/bookings", 10)
	setBehaviour(in.upstreams[0], "", standin.Behaviour{Mode: standin.ModeNormal})
	setBehaviour(in.upstreams[1], "", standin.Behaviour{Mode: standin.ModeFailAfterRun})
	leader := in.awaitLeader(nil)
	leader.kill()
	in.awaitLeader(leader)
	setBehaviour(in.upstreams[1], "", standin.Behaviour{Mode: standin.ModeNormal})
	senders.Wait()
	in.checkBookings(bookings)
}

func (in *installation) checkBookings(bookings []*booking) {
	t := in.t
	t.Helper()
	started := in.startCounts(byIdempotencyKey)
	ran, unknown, rejected := 0, 0, 0
	for _, b := range bookings {
		last := b.responses[len(b.responses)-1]
		switch n := started[b.key]; {
		case n > 1:
			t.Errorf("%s ran %d times", b.key, n)
		case n == 1 && b.notRun():
			t.Errorf("%s ran although all responses said not_run", b.key)
		case n == 0 && last.err == nil && last.status == http.StatusOK:
			t.Errorf("%s got status 200 but did not run", b.key)
		}
		switch {
		case last.err == nil && last.status == http.StatusOK:
			ran++
		case b.notRun():
			rejected++
		default:
			unknown++
		}
	}
	t.Logf("%d completed, %d unknown, %d rejected; %d started", ran, unknown, rejected, sum(started))
	if ran < len(bookings)/2 {
		t.Errorf("only %d of %d bookings were completed", ran, len(bookings))
	}
}

// jobState asks for the state of a job at any running entry VM.
func (in *installation) jobState(id string) string {
	for _, e := range in.entries {
		if e.ended() {
			continue
		}
		got := request(in.t, e.address("callers"), http.MethodGet, "/v1/jobs/"+id, "demo-key-catedral-primada", nil)
		var job struct{ State string }
		if got.err == nil && got.status == http.StatusOK && json.Unmarshal(got.body, &job) == nil {
			return job.State
		}
	}
	return ""
}

// Guards against accepted jobs that are lost, and non-idempotent ones that run
// twice, when an entry VM that runs them and the leader are killed.
func TestJobsSurviveKills(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	for _, region := range regionNames {
		in.addUpstreams(region, "billing", "--service-time", "300ms")
	}
	in.awaitServing(in.submitAccepted(documentWith(t, 1, "deadline_ms: 30000", "deadline_ms: 4000")).Revision)
	jobs := map[string]string{} // path by id
	for i := range 24 {
		path := fmt.Sprintf("/settlements/%d", i)
		if i%2 == 0 {
			path = fmt.Sprintf("/archive/lookups/%d", i)
		}
		got := requestUntilAdmitted(t, in.entries[i%3].address("callers"), http.MethodPost, path, "demo-key-catedral-primada", nil)
		var accepted struct {
			JobID string `json:"job_id"`
		}
		is.Equal(got.status, http.StatusAccepted)
		is.NoErr(json.Unmarshal(got.body, &accepted))
		jobs[accepted.JobID] = path
	}
	is.Equal(len(jobs), 24)
	leader := in.awaitLeader(nil)
	in.entries[0].kill()
	leader.kill()
	in.awaitLeader(leader)
	for id, path := range jobs {
		repeatable := path[:8] == "/archive"
		eventually(t, path+" ends", func() bool {
			state := in.jobState(id)
			return state == "done" || state == "unknown" && !repeatable
		})
	}
	started := in.startCounts(byPath("/"))
	for id, path := range jobs {
		n := started[path]
		if path[:8] != "/archive" && n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
		if n == 0 && in.jobState(id) == "done" {
			t.Errorf("%s is done but did not run", path)
		}
	}
	t.Logf("%d jobs, %d started", len(jobs), sum(in.startCounts(byPath("/settlements")))+sum(in.startCounts(byPath("/archive"))))
}
