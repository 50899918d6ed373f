package e2e_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// soakSeconds is how long faults are injected and soakSeed determines their order. soakControls,
	// soakGateways, soakUpstreams and soakCallers are the sizes of the fleet and of its load; each caller sends
	// one request at a time. Environment variables of these names in capitals override them.
	soakSeconds   = 20
	soakSeed      = 20261204
	soakControls  = 3
	soakGateways  = 4
	soakUpstreams = 6
	soakCallers   = 16
	// soakRecovery is the time after the last fault within which requests must be served
	// again; it is the platform's recovery bound.
	soakRecovery = 15 * time.Second
	// maxKeptBody is how much of a response body is kept, in bytes.
	maxKeptBody = 64 << 10
)

// soak sends requests to a fleet and records the status of each response.
type soak struct {
	f    *fleet
	next atomic.Int64

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
// run, or whose responses are truncated or belong to other requests; against planned stops that cut
// requests, customers above their rates, and a system that loses acknowledged configuration, does not
// recover, or sends upstreams more than they announce. Processes are killed, paused, stopped and reloaded,
// connections to upstreams are closed, delayed or drop data, upstreams leave, pause, limit their rate or
// send faulty responses, and the configuration changes, all at once.
func TestSoakUnderFaults(t *testing.T) {
	t.Parallel()
	seed := uint64(soakSetting(t, "SOAK_SEED", soakSeed))
	s := newSoak(newFleet(t, soakSetting(t, "SOAK_CONTROLS", soakControls), soakSetting(t, "SOAK_GATEWAYS", soakGateways),
		soakSetting(t, "SOAK_UPSTREAMS", soakUpstreams)))
	s.f.putConfig(1, 0)
	s.awaitServing()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakSetting(t, "SOAK_CALLERS", soakCallers) {
		caller := newSoakCaller(s, i, rand.New(rand.NewPCG(seed, uint64(i+1))))
		callers.Go(func() { caller.sendUntilDone(ctx) })
	}
	version := s.injectFaults(seed, time.Duration(soakSetting(t, "SOAK_SECONDS", soakSeconds))*time.Second)
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

// disturbance is a period in which a gateway did not run, or its view may be that of another process.
type disturbance struct {
	gateway  int
	from, to time.Time
	// graceful says that the gateway was asked to stop, and did not end before it had.
	graceful bool
}

// disturb runs a fault of a gateway and records it.
func (s *soak) disturb(gateway int, graceful bool, fault func()) {
	s.mu.Lock()
	at := len(s.disturbances)
	s.disturbances = append(s.disturbances, disturbance{gateway: gateway, from: time.Now(), graceful: graceful})
	s.mu.Unlock()
	fault()
	s.mu.Lock()
	s.disturbances[at].to = time.Now()
	s.mu.Unlock()
}

// disturbedSince reports whether a gateway was disturbed in a period.
func (s *soak) disturbedSince(gateway int, from, to time.Time) bool {
	return s.disturbed(gateway, from, to, func(disturbance) bool { return true })
}

func (s *soak) disturbed(gateway int, from, to time.Time, counts func(d disturbance) bool) bool {
	for _, d := range s.disturbances {
		if d.gateway == gateway && counts(d) && d.to.After(from) && d.from.Before(to) {
			return true
		}
	}
	return false
}
