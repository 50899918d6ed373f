package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID, Service, Address, Zone, State string
	Slots                             int
}

// List is a stand-in of the platform's list of upstreams.
type List struct {
	listener net.Listener

	mu        sync.Mutex
	instances []Instance
}

// NewList starts the stand-in on a free port.
func NewList() (*List, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &List{listener: listener}
	go func() { _ = http.Serve(listener, http.HandlerFunc(l.serve)) }()
	return l, nil
}

// Address returns the address of the stand-in.
func (l *List) Address() string { return l.listener.Addr().String() }

// Set replaces the list.
func (l *List) Set(instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := [][]any{}
	for _, i := range l.instances {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == i.Zone {
			rows = append(rows, []any{i.Service, i.Address, i.Zone, "v1", i.Slots, i.State, "0ms", i.ID})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances": map[string]any{
			"columns": []string{"service", "address", "zone", "version", "slots", "state", "coldRemaining", "id"}, "rows": rows,
		},
		"nextPageToken": nil,
	})
}
