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
	// soakCallers send one request after the other.
	soakCallers = 16
	// soakSeconds is how long faults are made, soakSeed gives their order; SOAK_SECONDS
	// and SOAK_SEED replace them.
	soakSeconds = 20
	soakSeed    = 20261204
	// soakFaults is the number of kinds of faults.
	soakFaults = 9
	// soakRecovery is how long after the last fault requests must be served again, as
	// the platform's bound on recovery says.
	soakRecovery = 15 * time.Second
)

// soak sends requests to a fleet and keeps what callers were told.
type soak struct {
	f       *fleet
	next    atomic.Int64
	mu      sync.Mutex
	answers map[string]int // by request id; 0 means no answer
}

// Guards against requests that run twice, that ran though they were refused as not
// run, whose answers are mixed up or cut, and against a system that loses what it
// acknowledged or does not come back, while processes are killed, paused and stopped,
// and links to upstreams are cut, delayed and silent.
func TestSoakOfTheWholePath(t *testing.T) {
	t.Parallel()
	seed := uint64(soakNumber(t, "SOAK_SEED", soakSeed))
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &soak{f: newFleet(t, 3, 4, 6), answers: map[string]int{}}
	s.f.put(1, 0)
	s.awaitServing()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.call(ctx, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	version := s.disturb(rng, time.Duration(soakNumber(t, "SOAK_SECONDS", soakSeconds))*time.Second)
	s.awaitServing()
	eventually(t, "the newest version is read back", func() bool { return s.f.versionKept(version) })
	cancel()
	callers.Wait()
	s.check()
}

// soakNumber reads a number from the environment.
func soakNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Logf("%s=%d", name, n)
	return n
}

// disturb makes faults and changes the configuration, and returns its last version.
func (s *soak) disturb(rng *rand.Rand, length time.Duration) (version int) {
	f := s.f
	version = 1
	var kinds []int
	for end := time.Now().Add(length); time.Now().Before(end) || len(kinds) > 0; {
		if len(kinds) == 0 {
			kinds = rng.Perm(soakFaults) // each kind comes before one comes again
		}
		gateway, control := rng.IntN(len(f.gateways)), rng.IntN(len(f.controls))
		link := f.upstreams[rng.IntN(len(f.upstreams))].link
		kind := kinds[0]
		kinds = kinds[1:]
		f.t.Logf("fault %d: gateway %d, control %d", kind, gateway, control)
		switch kind {
		case 0:
			f.gateways[gateway].kill()
			f.restart("gateway", gateway)
		case 1:
			f.gateways[gateway].stop()
			f.restart("gateway", gateway)
		case 2:
			pauseProcess(f.gateways[gateway], time.Duration(200+rng.IntN(1500))*time.Millisecond)
		case 3:
			pauseProcess(f.controls[control], time.Duration(200+rng.IntN(2500))*time.Millisecond)
		case 4:
			for i := range f.controls {
				f.controls[i].kill()
			}
			for i := range f.controls {
				f.restart("control", i)
			}
		case 5:
			for _, u := range f.upstreams {
				u.link.cut()
			}
		case 6:
			link.set(nil, rule{delay: 300 * time.Millisecond})
			time.Sleep(time.Second)
			link.set(nil, rule{})
		case 7:
			link.silenceOpen()
			f.gateways[gateway].signal(syscall.SIGHUP)
		case 8:
			f.controls[control].kill()
			removeAll(f.t, f.dataDir(control))
			f.restart("control", control)
			s.awaitMember(control) // one lost disk at a time is to be borne
		}
		f.put(version+1, version)
		version++
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	return version
}

// awaitMember waits until a control VM whose disk was empty knows the configuration.
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

// pauseProcess freezes a process for a time.
func pauseProcess(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// awaitServing waits until each gateway has answered some requests in a row.
func (s *soak) awaitServing() {
	s.f.t.Helper()
	ended := time.Now().Add(soakRecovery)
	for i, g := range s.f.gateways {
		for row := 0; row < 5; {
			if s.send(s.f.t.Context(), i, http.MethodGet, "/look/1") == http.StatusOK {
				row++
				continue
			}
			row = 0
			if time.Now().After(ended) {
				s.f.t.Fatalf("%s does not serve %v after the last fault", g.name, soakRecovery)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *soak) call(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		method, path := http.MethodGet, fmt.Sprintf("/look/%d", rng.IntN(50))
		if rng.IntN(2) == 0 {
			method, path = http.MethodPost, "/book/1"
		}
		if s.send(context.WithoutCancel(ctx), rng.IntN(len(s.f.gateways)), method, path) == 0 {
			time.Sleep(20 * time.Millisecond) // nobody listens there
		}
	}
}

// send sends one request under an id of its own and checks the answer. It returns the
// status, 0 without a whole answer.
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
	status := s.exchange(r, id)
	s.mu.Lock()
	s.answers[id] = status
	s.mu.Unlock()
	return status
}

func (s *soak) exchange(r *http.Request, id string) int {
	fresh := &http.Transport{DialContext: dialUntraced}
	defer fresh.CloseIdleConnections()
	response, err := fresh.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != "ran "+id || response.Header.Get(platform.UpstreamHeaders().Signature) != "s-"+id) {
		s.f.t.Errorf("request %s got the answer %q", id, body)
	}
	return response.StatusCode
}

// dialUntraced opens a connection that leaves nothing in the socket table when it is
// closed. The forwarders of other tests read that table to tell processes apart; with
// 20,000 ended connections in it they came to a standstill.
func dialUntraced(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetLinger(0)
}

// check compares what callers were told with what the upstreams ran.
func (s *soak) check() {
	t := s.f.t
	statuses := map[int]int{}
	for id, status := range s.answers {
		statuses[status]++
		ran := s.f.ran(id)
		unsafe := strings.HasPrefix(id, "post-")
		switch {
		case unsafe && ran > 1:
			t.Errorf("request %s, which may not be repeated, ran %d times", id, ran)
		case ran > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			t.Errorf("request %s was refused with %d, which says that it did not run, and ran", id, status)
		case ran == 0 && status == http.StatusOK:
			t.Errorf("request %s was answered and did not run", id)
		case status >= 300 && status < 500 && status != http.StatusTooManyRequests:
			t.Errorf("request %s was refused with %d though it is allowed", id, status)
		}
	}
	t.Logf("%d requests, statuses %v", len(s.answers), statuses)
	if statuses[http.StatusOK] < len(s.answers)/2 {
		t.Errorf("%d of %d requests succeeded", statuses[http.StatusOK], len(s.answers))
	}
}
