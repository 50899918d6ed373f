package e2e_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/platform"
)

const (
	// soakCallers is the number of callers; each sends one request at a time.
	soakCallers = 16
	// soakSeconds is how long faults are injected and soakSeed determines their order;
	// SOAK_SECONDS and SOAK_SEED override them.
	soakSeconds = 20
	soakSeed    = 20261204
	// soakFaults is the number of kinds of faults.
	soakFaults = 12
	// soakRecovery is the time after the last fault within which requests must be served
	// again; it is the platform's recovery bound.
	soakRecovery = 15 * time.Second
	// maxKeptBody is how much of a response body is kept, in bytes.
	maxKeptBody = 64 << 10
)

// soak sends requests to a fleet and records the status of each response.
type soak struct {
	f        *fleet
	next     atomic.Int64
	mu       sync.Mutex
	statuses map[string]int // by request id; 0 means no response
	sent     map[string]sentRequest
	// disturbances are when gateways were killed, stopped or paused; the time until they run again counts.
	disturbances []disturbance
}

func newSoak(f *fleet) *soak {
	return &soak{f: f, statuses: map[string]int{}, sent: map[string]sentRequest{}}
}

// Guards against requests that run twice, that run although they were rejected as not
// run, or whose responses are truncated or belong to other requests, and against a
// system that loses acknowledged configuration, does not recover, or sends upstreams more than
// they announce, while processes are killed, paused and stopped, connections to upstreams are
// closed, delayed or drop data, and upstreams leave, pause or limit their rate.
func TestSoakUnderFaults(t *testing.T) {
	t.Parallel()
	seed := uint64(soakSetting(t, "SOAK_SEED", soakSeed))
	rng := rand.New(rand.NewPCG(seed, 0))
	s := newSoak(newFleet(t, 3, 4, 6))
	s.f.putConfig(1, 0)
	s.awaitServing()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.sendUntilDone(ctx, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	version := s.injectFaults(rng, time.Duration(soakSetting(t, "SOAK_SECONDS", soakSeconds))*time.Second)
	s.awaitServing()
	eventually(t, "the newest version is read back", func() bool { return s.f.versionRetained(version) })
	cancel()
	callers.Wait()
	s.check()
}

// soakSetting returns a number from an environment variable, or the default.
func soakSetting(t *testing.T, name string, defaultValue int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Logf("%s=%d", name, n)
	return n
}

// injectFaults injects faults and changes the configuration, and returns its last version.
func (s *soak) injectFaults(rng *rand.Rand, length time.Duration) (version int) {
	f := s.f
	version = 1
	var kinds []int
	for end := time.Now().Add(length); time.Now().Before(end) || len(kinds) > 0; {
		if len(kinds) == 0 {
			kinds = rng.Perm(soakFaults) // every kind occurs once before any repeats
		}
		gateway, control := rng.IntN(len(f.gateways)), rng.IntN(len(f.controls))
		upstreamForwarder := f.upstreams[rng.IntN(len(f.upstreams))].forwarder
		announced := &f.upstreams[1+rng.IntN(len(f.upstreams)-1)].announced
		kind := kinds[0]
		kinds = kinds[1:]
		f.t.Logf("fault %d: gateway %d, control %d", kind, gateway, control)
		switch kind {
		case 0:
			s.disturb(gateway, func() {
				f.gateways[gateway].kill()
				f.restartVM("gateway", gateway)
			})
		case 1:
			s.disturb(gateway, func() {
				f.gateways[gateway].stop()
				f.restartVM("gateway", gateway)
			})
		case 2:
			s.disturb(gateway, func() {
				pauseProcess(f.gateways[gateway], time.Duration(200+rng.IntN(1500))*time.Millisecond)
			})
		case 3:
			pauseProcess(f.controls[control], time.Duration(200+rng.IntN(2500))*time.Millisecond)
		case 4:
			for i := range f.controls {
				f.controls[i].kill()
			}
			for i := range f.controls {
				f.restartVM("control", i)
			}
		case 5:
			for _, u := range f.upstreams {
				u.forwarder.closeConns()
			}
		case 6:
			upstreamForwarder.setRule(nil, faultRule{delay: 300 * time.Millisecond})
			time.Sleep(time.Second)
			upstreamForwarder.setRule(nil, faultRule{})
		case 7:
			upstreamForwarder.dropOpenConns()
			f.gateways[gateway].signal(syscall.SIGHUP)
		case 8:
			f.controls[control].kill()
			removeAll(f.t, f.dataDir(control))
			f.restartVM("control", control)
			s.awaitMember(control) // only one lost disk at a time must be tolerated
		case 9:
			announced.set(func(a *announcements) { a.rejectEvery, a.pause = 3, time.Duration(500+rng.IntN(2000))*time.Millisecond })
			time.AfterFunc(3*time.Second, func() { announced.set(func(a *announcements) { a.rejectEvery = 0 }) })
		case 10:
			announced.set(func(a *announcements) { a.limit = 1 + 8*rng.Float64() })
			time.AfterFunc(6*time.Second, func() { announced.set(func(a *announcements) { a.limit = 0 }) })
		case 11:
			f.upstreams[0].announced.set(func(a *announcements) { a.leaving = true }) // one only: it does not come back
		}
		f.putConfig(version+1, version)
		version++
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	return version
}

// awaitMember waits until a control VM that lost its disk serves the configuration.
func (s *soak) awaitMember(control int) {
	s.f.t.Helper()
	eventually(s.f.t, s.f.controls[control].name+" is a member again", func() bool {
		response, err := http.Get("http://" + s.f.address("control", control, fleetOperatorPort) + "/pistachiomount/Config.Get")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// pauseProcess stops a process with SIGSTOP for the given time.
func pauseProcess(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// awaitServing waits until each gateway has served five requests in a row.
func (s *soak) awaitServing() {
	s.f.t.Helper()
	ended := time.Now().Add(soakRecovery)
	for i, g := range s.f.gateways {
		for successes := 0; successes < 5; {
			if s.send(s.f.t.Context(), i, http.MethodGet, "/look/1") == http.StatusOK {
				successes++
				continue
			}
			successes = 0
			if time.Now().After(ended) {
				s.f.t.Fatalf("%s does not serve requests %v after the last fault", g.name, soakRecovery)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *soak) sendUntilDone(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		if s.sendRandom(ctx, rng) == 0 {
			time.Sleep(20 * time.Millisecond) // no listener, or no complete response
		}
	}
}

// sendRandom sends a request of a random kind to a random gateway and returns its status.
func (s *soak) sendRandom(ctx context.Context, rng *rand.Rand) int {
	method, path := http.MethodGet, fmt.Sprintf("/look/%d", rng.IntN(50))
	if rng.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/1"
	}
	return s.send(context.WithoutCancel(ctx), rng.IntN(len(s.f.gateways)), method, path)
}

// send sends one request with a unique id and checks the response. It returns the
// status, or 0 without a complete response.
func (s *soak) send(ctx context.Context, gateway int, method, path string) int {
	id := fmt.Sprintf("%s-%d", strings.ToLower(method), s.next.Add(1))
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.f.address("gateway", gateway, fleetCallerPort)+path, nil)
	if err != nil {
		s.f.t.Error(err)
		return 0
	}
	r.Host = "a.example"
	names := platform.CallerHeaders()
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Key, "soak-key")
	r.Header.Set(names.Deadline, "3000")
	sent := sentRequest{gateway: gateway, at: time.Now()}
	status := s.roundTrip(r, id)
	sent.answered = status != 0
	s.mu.Lock()
	s.statuses[id], s.sent[id] = status, sent
	s.mu.Unlock()
	return status
}

func (s *soak) roundTrip(r *http.Request, id string) int {
	fresh := &http.Transport{DialContext: dialWithoutTimeWait}
	defer fresh.CloseIdleConnections()
	response, err := fresh.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readStart(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != "ran "+id || response.Header.Get(platform.UpstreamHeaders().Signature) != "s-"+id) {
		s.f.t.Errorf("request %s got the response %q", id, body)
	}
	return response.StatusCode
}

// readStart reads a body to its end and returns its first bytes: a body without end would fill the
// memory of the test.
func readStart(body io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(body, maxKeptBody))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, body)
	return start, err
}

// dialWithoutTimeWait opens a connection that is reset on close and leaves no TIME_WAIT entry.
// Tests that read the whole socket table stall with 20,000 closed connections in it.
func dialWithoutTimeWait(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetLinger(0)
}

// check compares the responses that callers got with the requests that upstreams ran.
func (s *soak) check() {
	t := s.f.t
	statuses := map[int]int{}
	for id, status := range s.statuses {
		statuses[status]++
		ran := s.f.runCount(id)
		nonIdempotent := strings.HasPrefix(id, "post-")
		switch {
		case nonIdempotent && ran > 1:
			t.Errorf("non-idempotent request %s ran %d times", id, ran)
		case ran > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			t.Errorf("request %s ran although status %d says that it did not", id, status)
		case ran == 0 && status == http.StatusOK:
			t.Errorf("request %s got status 200 but did not run", id)
		case status >= 300 && status < 500 && status != http.StatusTooManyRequests:
			t.Errorf("valid request %s was rejected with %d", id, status)
		}
	}
	announced := announcementCheck{t: t, disturbedSince: s.disturbedSince, sent: func(id string) (sentRequest, bool) {
		sent, ok := s.sent[id]
		return sent, ok
	}}
	for _, u := range s.f.upstreams {
		announced.check(u)
	}
	t.Logf("%d requests, statuses %v", len(s.statuses), statuses)
	if statuses[http.StatusOK] < len(s.statuses)/2 {
		t.Errorf("%d of %d requests succeeded", statuses[http.StatusOK], len(s.statuses))
	}
}

// countStatus returns the number of requests with a status.
func (s *soak) countStatus(status int) (n int) {
	for _, got := range s.statuses {
		if got == status {
			n++
		}
	}
	return n
}

// disturbance is a period in which a gateway did not run, or its view may be that of another process.
type disturbance struct {
	gateway  int
	from, to time.Time
}

// disturb runs a fault of a gateway and records it.
func (s *soak) disturb(gateway int, fault func()) {
	d := disturbance{gateway: gateway, from: time.Now()}
	fault()
	d.to = time.Now()
	s.disturbances = append(s.disturbances, d)
}

// disturbedSince reports whether a gateway was disturbed in a period.
func (s *soak) disturbedSince(gateway int, from, to time.Time) bool {
	for _, d := range s.disturbances {
		if d.gateway == gateway && d.to.After(from) && d.from.Before(to) {
			return true
		}
	}
	return false
}
