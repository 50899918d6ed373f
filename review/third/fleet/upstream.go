package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is one request that an upstream ran.
type Run struct {
	At       time.Time
	Upstream *Upstream
	ID       string
	Customer string
	Path     string
	Body     string
}

// Upstream is a stand-in of an endpoint.
type Upstream struct {
	ID, Service, Domain string
	// Work is how long a request takes.
	Work time.Duration

	listener net.Listener

	mu   sync.Mutex
	runs []Run
	// lostBelow and lostShare say which answers are lost.
	lostBelow string
	lostShare float64
}

// NewUpstream starts an endpoint on a free port.
func NewUpstream(id, service, domain string, work time.Duration) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{ID: id, Service: service, Domain: domain, Work: work, listener: listener}
	server := &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return u, nil
}

// Instance returns the entry of the platform's list.
func (u *Upstream) Instance() Instance {
	return Instance{ID: u.ID, Service: u.Service, Address: u.listener.Addr().String(), Zone: u.Domain, State: "ready", Slots: 8}
}

// Runs returns what ran since a time.
func (u *Upstream) Runs(since time.Time) []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var runs []Run
	for _, r := range u.runs {
		if !r.At.Before(since) {
			runs = append(runs, r)
		}
	}
	return runs
}

// LoseAnswers makes a share of the requests below a path run without an answer: their connections are reset.
func (u *Upstream) LoseAnswers(below string, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lostBelow, u.lostShare = below, share
}

// ServeHTTP runs a request as the protocol says.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.ID)
		w.Header().Set("X-Server-Load", "0,0,8")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	lost := u.recordRun(Run{At: time.Now(), Upstream: u, ID: id, Customer: r.Header.Get("X-Tenant-Id"), Path: r.URL.Path, Body: string(body)})
	time.Sleep(u.Work)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s", u.ID, id))
	w.Header().Set("X-Server-Load", "1,0,8")
	_, _ = io.WriteString(w, "ran "+id)
}

// recordRun records a run and reports whether its answer is lost.
func (u *Upstream) recordRun(run Run) (lost bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	return u.lostBelow != "" && strings.HasPrefix(run.Path, u.lostBelow) && rand.Float64() < u.lostShare
}
