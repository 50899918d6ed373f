package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an endpoint began to work on.
type run struct {
	id, endpoint, zone, tenant string
	at                         time.Time
}

// endpoint is a sound endpoint of one service: a new incarnation at its own loopback address.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	world                      *world
	running                    atomic.Int64
	server                     *http.Server
	draining                   atomic.Bool
}

// world holds the platform's list and the endpoints, and what these have run.
type world struct {
	log *record

	mu        sync.Mutex
	endpoints []*endpoint
	runs      []run
	foreign   [][]any              // rows of the list from another writer
	ended     map[string]time.Time // when the work on a request ended, by request and endpoint
	answered  map[string]bool      // whether an answer was written in full, by request and endpoint
	listAddr  string
	// answerBytes is the length of answers; 0 for a short line.
	answerBytes atomic.Int64
}

// newWorld starts the platform's list at an address.
func newWorld(log *record, address string) (*world, error) {
	w := &world{log: log, listAddr: address, ended: map[string]time.Time{}, answered: map[string]bool{}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", w.list)
	go func() { _ = http.Serve(l, mux) }()
	return w, nil
}

// list answers GET /instances with all entries on one page.
func (w *world) list(out http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	rows := [][]any{}
	w.mu.Lock()
	for _, e := range w.endpoints {
		if zone == "" || zone == e.zone {
			state := "ready"
			if e.draining.Load() {
				state = "draining"
			}
			rows = append(rows, []any{e.service, e.address, e.zone, "v1", e.slots, state, "0ms", e.id})
		}
	}
	rows = append(rows, w.foreign...)
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"instances":     map[string]any{"columns": []string{"service", "address", "zone", "version", "slots", "state", "coldRemaining", "id"}, "rows": rows},
		"nextPageToken": nil,
	})
}

// add starts an endpoint.
func (w *world) add(service, zone, address string, slots int, work time.Duration) (*endpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &endpoint{id: fmt.Sprintf("i-%s-%d", service, len(w.endpoints)+1), service: service, zone: zone, address: address, slots: slots, work: work, world: w}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	w.endpoints = append(w.endpoints, e)
	return e, nil
}

// addRow adds a row of another writer to the list.
func (w *world) addRow(row []any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.foreign = append(w.foreign, row)
}

// ServeHTTP answers health checks and runs requests.
func (e *endpoint) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", e.id)
		out.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	running := e.running.Add(1)
	defer e.running.Add(-1)
	out.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(e.slots)), max(0, running-int64(e.slots)), e.slots))
	switch expected := r.Header.Get("X-Expected-Instance"); {
	case expected != "" && expected != e.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	case running > int64(e.slots)+6:
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.world.begin(run{id: id, endpoint: e.id, zone: e.zone, tenant: r.Header.Get("X-Tenant-Id"), at: time.Now()})
	defer e.world.end(id, e.id)
	limit := time.Duration(1<<62 - 1)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(e.work, limit)):
	case <-r.Context().Done():
		return
	}
	if e.work > limit {
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	out.Header().Set("X-Response-Signature", "sig."+id)
	answer := fmt.Sprintf("%s %s %d %s\n", e.id, r.Method, len(body), id)
	if n := int(e.world.answerBytes.Load()); n > len(answer) {
		answer += strings.Repeat("x", n-len(answer))
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := io.WriteString(out, answer); err == nil {
		e.world.recordAnswer(id, e.id)
	}
}

func (w *world) recordAnswer(id, endpoint string) {
	w.log.add("answered %s by %s", id, endpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[id+" "+endpoint] = true
}

// hasAnswered reports whether an endpoint has written its whole answer.
func (w *world) hasAnswered(id, endpoint string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered[id+" "+endpoint]
}

func (w *world) begin(r run) {
	w.log.add("run %s at %s in %s for %q", r.id, r.endpoint, r.zone, r.tenant)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

func (w *world) end(id, endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[id+" "+endpoint] = time.Now()
}

// all returns the runs so far.
func (w *world) all() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
