package standin

import (
	"context"
	"net/http"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"pistachiomount.example/pistachiomount/inventory"
)

// Fleet runs several upstreams in one process. It is an http.Handler for their
// control requests and keeps serving while the upstreams refuse connections.
type Fleet struct {
	servers []*UpstreamServer
	byID    map[string]*UpstreamServer
	handler http.Handler
}

// StartFleet starts every upstream of the configuration. If one fails, it
// stops those already started and returns the error.
func StartFleet(config FleetConfig, logger logrus.FieldLogger) (*Fleet, error) {
	if err := config.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	f := &Fleet{byID: map[string]*UpstreamServer{}}
	for _, member := range config.Upstreams {
		if err := f.start(member, logger); err != nil {
			f.Close()
			return nil, errors.Trace(err)
		}
	}
	f.handler = f.routes()
	return f, nil
}

func (f *Fleet) start(member FleetMember, logger logrus.FieldLogger) error {
	upstream, err := NewUpstream(member.UpstreamConfig)
	if err != nil {
		return errors.Trace(err)
	}
	server, err := StartUpstream(upstream, member.Address, logger)
	if err != nil {
		return errors.Trace(err)
	}
	f.servers = append(f.servers, server)
	f.byID[member.ID] = server
	return nil
}

// InventoryEntries returns the entries of the upstreams for the platform's list.
func (f *Fleet) InventoryEntries() []inventory.Upstream {
	entries := make([]inventory.Upstream, len(f.servers))
	for i, server := range f.servers {
		entries[i] = server.InventoryEntry()
	}
	return entries
}

// Server returns the server of an upstream, or nil if there is none.
func (f *Fleet) Server(id string) *UpstreamServer {
	return f.byID[id]
}

// Shutdown stops all upstreams gracefully.
func (f *Fleet) Shutdown(ctx context.Context) error {
	var group errgroup.Group
	for _, server := range f.servers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	return group.Wait()
}

// Close stops all upstreams immediately.
func (f *Fleet) Close() {
	for _, server := range f.servers {
		server.Close()
	}
}

// ServeHTTP serves GET /upstreams, the control requests of one upstream under
// /upstreams/{id}/, PUT /standin for all, and GET /standin/record with the
// records of all.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.handler.ServeHTTP(w, r)
}

func (f *Fleet) routes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/upstreams", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.InventoryEntries())
	}, http.MethodGet)
	mux.HandleFunc("/upstreams/:id/...", f.controlUpstream)
	mux.HandleFunc("/standin", f.putBehaviour, http.MethodPut)
	mux.HandleFunc("/standin/record", f.getRecords, http.MethodGet)
	return mux
}

func (f *Fleet) controlUpstream(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	server := f.Server(id)
	if server == nil {
		writeError(w, errors.WithType(errors.Errorf("no upstream with id %q", id), ErrNotFound))
		return
	}
	http.StripPrefix("/upstreams/"+id, server.Upstream().ControlHandler()).ServeHTTP(w, r)
}

// putBehaviour sets the behaviour of all upstreams that match the query parameters
// service, region and failure_domain. A missing parameter matches all.
func (f *Fleet) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	err := decodeBody(r, &b)
	for _, server := range f.servers {
		if err != nil {
			break
		}
		entry := server.InventoryEntry()
		if matchesQuery(r, "service", entry.Service) && matchesQuery(r, "region", entry.Region) &&
			matchesQuery(r, "failure_domain", entry.FailureDomain) {
			err = server.Upstream().SetBehaviour(b)
		}
	}
	writeChangeResult(w, err)
}

func matchesQuery(r *http.Request, parameter, value string) bool {
	filter := r.URL.Query().Get(parameter)
	return filter == "" || filter == value
}

func (f *Fleet) getRecords(w http.ResponseWriter, _ *http.Request) {
	records := make([]Record, len(f.servers))
	for i, server := range f.servers {
		records[i] = server.Upstream().Record()
	}
	writeJSON(w, http.StatusOK, records)
}
