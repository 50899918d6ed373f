package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
)

// Ready is the handler of GET /ready, which returns the state of the process and its
// bound addresses. The status is 200 when ready and 503 otherwise. Ready is safe for
// concurrent use.
type Ready struct {
	mu     sync.Mutex
	report ReadyReport
}

// ReadyReport is the JSON response of GET /ready.
type ReadyReport struct {
	Ready bool `json:"ready"`
	// State is the lifecycle state of the process, such as "serving".
	State string `json:"state"`
	// Listeners maps the name of each listener to its bound address.
	Listeners map[string]string `json:"listeners"`
}

// NewReady returns a handler that reports the state "starting", not ready.
func NewReady() *Ready {
	return &Ready{report: ReadyReport{State: "starting", Listeners: map[string]string{}}}
}

// SetState sets the reported state and readiness.
func (r *Ready) SetState(state string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.State, r.report.Ready = state, ready
}

// AddListener adds the bound address of a listener to the report.
func (r *Ready) AddListener(name string, address fmt.Stringer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Listeners[name] = address.String()
}

// Report returns a copy of the current report.
func (r *Ready) Report() ReadyReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Listeners = maps.Clone(report.Listeners)
	return report
}

// ServeHTTP writes the report as JSON.
func (r *Ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	report := r.Report()
	w.Header().Set("Content-Type", "application/json")
	if !report.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(report)
}
