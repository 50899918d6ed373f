package e2e_test

import (
	"syscall"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/caller"
)

// steady are request rates of customers, well below the limits of the document.
var steady = map[string]float64{"catedral-primada": 80, "san-ignacio": 60}

// checkAllSucceeded fails the test if a request was rejected or got no response.
func checkAllSucceeded(t *testing.T, s caller.Summary) {
	t.Helper()
	t.Logf("%d requests, statuses %v, extra attempts %d", s.Requests, s.Statuses, s.ExtraAttempts)
	if s.OK != s.Requests || len(s.Failures) > 0 || len(s.Rejections) > 0 {
		t.Errorf("%d of %d requests succeeded; rejections %v, failures %v", s.OK, s.Requests, s.Rejections, s.Failures)
	}
}

// spreadGrants sends load until grants are distributed to the VMs that serve it.
func (in *installation) spreadGrants() {
	in.t.Helper()
	l := in.startLoad(steady, nil)
	in.awaitMoreRequests("/records", 500)
	l.end()
}

// Guards against a planned stop that interrupts or rejects requests of callers that
// honour the time to live of lookup responses.
func TestPlannedStopOfEntryLosesNothing(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 4, "--service-time", "20ms")
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	in.spreadGrants()
	l := in.startLoad(steady, nil)
	in.awaitMoreRequests("/records", 200)
	in.entries[0].stop()
	in.entries[1].stop()
	in.awaitMoreRequests("/records", 200)
	summary := l.end()
	checkAllSucceeded(t, summary)
	if summary.ExtraAttempts > 0 {
		t.Errorf("%d attempts reached a stopped entry VM", summary.ExtraAttempts)
	}
}

// Guards against a planned stop of the leader that does not transfer leadership, or
// that fails requests.
func TestPlannedStopOfLeaderLosesNothing(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3, "--service-time", "20ms")
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	in.spreadGrants()
	l := in.startLoad(steady, nil)
	in.awaitMoreRequests("/records", 200)
	leader := in.awaitLeader(nil)
	leader.stop()
	in.awaitLeader(leader)
	in.awaitMoreRequests("/records", 600)
	checkAllSucceeded(t, l.end())
}

// Guards against a lost region that causes failures for callers of other regions
// while an entry VM of another region is being stopped.
func TestRegionLostDuringPlannedStop(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 6)
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	in.spreadGrants()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		in.entries[1].stop()
	}()
	for _, p := range []*process{in.upstreams[0], in.controls[0], in.entries[0], in.entries[3]} {
		p.kill()
	}
	in.awaitLeader(in.controls[0])
	<-stopped
	eventually(t, "the lost VMs are no longer listed", func() bool {
		return in.unlisted(in.entries[0]) && in.unlisted(in.entries[3])
	})
	l := in.startLoad(steady, nil)
	in.awaitMoreRequests("/records", 500)
	summary := l.end()
	t.Logf("%d requests, rejections %v, failures %v", summary.Requests, summary.Rejections, summary.Failures)
	if len(summary.Failures) > 0 {
		t.Errorf("requests without a response: %v", summary.Failures)
	}
	// Some requests fail until the weight has moved to the remaining regions.
	if summary.OK < summary.Requests*9/10 {
		t.Errorf("%d of %d requests succeeded: %v", summary.OK, summary.Requests, summary.Rejections)
	}
}

// Guards against requests that are rejected because their wait is overestimated: all
// upstreams pause for an eighth of the deadline.
func TestShortPauseOfUpstreamsRejectsNothing(t *testing.T) {
	t.Parallel()
	in := newInstallation(t, 3, 3, "--service-time", "20ms")
	in.awaitServing(in.submitAccepted(documentWith(t, 1)).Revision)
	in.spreadGrants()
	l := in.startLoad(map[string]float64{"catedral-primada": 150, "san-ignacio": 150}, nil)
	in.awaitMoreRequests("/records", 300)
	for _, u := range in.upstreams {
		u.signal(syscall.SIGSTOP)
	}
	time.Sleep(250 * time.Millisecond) // below the 500 ms that a request waits for capacity
	for _, u := range in.upstreams {
		u.signal(syscall.SIGCONT)
	}
	in.awaitMoreRequests("/records", 300)
	checkAllSucceeded(t, l.end())
}
