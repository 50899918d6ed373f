package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// vmMemory is the memory of an entry VM on the users' platform, in bytes.
	vmMemory = 184 << 20
	// endlessCalls is the number of requests sent while an upstream responds without end.
	endlessCalls = 200
	// maxMedianSlowdown bounds the typical duration of requests that other upstreams serve, against
	// the time before; upstreams take 2 to 22 ms.
	maxMedianSlowdown = 3
)

// Guards against an upstream that responds without end and exhausts the memory of its callers' VM,
// delays the requests that other upstreams serve, or makes a request look complete.
// It does not run beside other tests: bytes without end take several processors.
func TestUpstreamWithoutEndOfResponseLeavesOthersServed(t *testing.T) {
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"header line": "HTTP/1.1 200 OK\r\nX-Long: ",
		"body":        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSoak(newFleet(t, 3, 1, 3))
			s.f.putConfig(1, 0)
			s.awaitServing()
			_, before := s.timeRequests(t, endlessCalls)
			s.f.upstreams[0].respondWithoutEnd([]byte(start), 0)
			statuses, during := s.timeRequests(t, endlessCalls)
			t.Logf("statuses %v, median %v before and %v during", statuses, before, during)
			is.True(during < before*maxMedianSlowdown)
			is.Equal(statuses[http.StatusOK]+statuses[0], endlessCalls) // 0: cut off, as the response had no end
			is.True(statuses[http.StatusOK] > endlessCalls*9/10)        // the upstream is degraded after a few
			peak := peakResidentMemory(t, s.f.gateways[0])
			t.Logf("peak of resident memory %d MB", peak>>20)
			is.True(peak < vmMemory)
		})
	}
}

// Guards against responses without end that exhaust the memory of a VM because many of them arrive at once,
// from upstreams with many slots.
func TestManyResponsesWithoutEndLeaveMemory(t *testing.T) {
	const concurrent, slots = 200, 60
	is := is.New(t)
	s := newSoak(startFleet(&fleet{t: t, slots: slots, memoryMB: vmMemory >> 20}, 3, 1, 18))
	s.f.putConfig(1, 0)
	s.awaitServing()
	start := slices.Concat([]byte("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n"), make([]byte, 2<<20))
	for _, u := range s.f.upstreams {
		u.respondWithoutEnd(start, 100*time.Millisecond)
	}
	var callers sync.WaitGroup
	for i := range concurrent {
		callers.Go(func() { s.send(t.Context(), 0, http.MethodGet, fmt.Sprintf("/look/%d", i)) })
	}
	callers.Wait()
	peak := peakResidentMemory(t, s.f.gateways[0])
	t.Logf("peak of resident memory %d MB", peak>>20)
	is.True(peak < vmMemory)
	for _, u := range s.f.upstreams {
		u.respondWithoutEnd(nil, 0)
	}
	s.awaitServing()
}

// respondWithoutEnd makes the upstream respond with start and then with bytes until the connection
// ends, with a pause between them; nil ends that.
func (u *fleetUpstream) respondWithoutEnd(start []byte, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endless, u.endlessPause = start, pause
}

// timeRequests sends idempotent requests one after the other and returns their statuses and the median
// of their durations.
func (s *soak) timeRequests(t *testing.T, n int) (statuses map[int]int, median time.Duration) {
	t.Helper()
	statuses = map[int]int{}
	var durations []time.Duration
	for i := range n {
		started := time.Now()
		statuses[s.send(t.Context(), 0, http.MethodGet, fmt.Sprintf("/look/%d", i%50))]++
		durations = append(durations, time.Since(started))
	}
	slices.Sort(durations)
	return statuses, durations[len(durations)/2]
}

// peakResidentMemory returns the largest resident memory that a process has had, in bytes.
func peakResidentMemory(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no peak of resident memory in the status of the process")
	return 0
}
