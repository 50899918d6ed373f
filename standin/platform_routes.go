package standin

import (
	"net/http"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
)

func (p *Platform) routes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/vms", p.getVMs, http.MethodGet)
	mux.HandleFunc("/v1/upstreams", p.getUpstreams, http.MethodGet)
	mux.HandleFunc("/v1/vms", p.changeHandler(putVMs), http.MethodPut)
	mux.HandleFunc("/v1/upstreams", p.changeHandler(putUpstreams), http.MethodPut)
	mux.HandleFunc("/v1/vms", p.changeHandler(postVM), http.MethodPost)
	mux.HandleFunc("/v1/upstreams", p.changeHandler(postUpstream), http.MethodPost)
	mux.HandleFunc("/v1/vms/:name", p.changeHandler(patchVM), http.MethodPatch)
	mux.HandleFunc("/v1/upstreams/:id", p.changeHandler(patchUpstream), http.MethodPatch)
	mux.HandleFunc("/standin", p.putOptions, http.MethodPut)
	return mux
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	writeList(w, p.failing(), p.Lists().VMs)
}

func (p *Platform) getUpstreams(w http.ResponseWriter, _ *http.Request) {
	writeList(w, p.failing(), p.Lists().Upstreams)
}

func writeList[T any](w http.ResponseWriter, failing bool, entries []T) {
	if failing {
		writeError(w, errors.New("failure enabled by PUT /standin"))
		return
	}
	if entries == nil {
		entries = []T{} // an empty list is [], not null
	}
	writeJSON(w, http.StatusOK, entries)
}

func (p *Platform) putOptions(w http.ResponseWriter, r *http.Request) {
	var options PlatformOptions
	err := decodeBody(r, &options)
	if err == nil {
		err = p.SetOptions(options)
	}
	writeChangeResult(w, err)
}

// changeHandler returns a handler that decodes a change and applies it.
func (p *Platform) changeHandler(decode func(*http.Request) (func(*Lists) error, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		change, err := decode(r)
		if err == nil {
			err = p.Update(change)
		}
		writeChangeResult(w, err)
	}
}

func writeChangeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func putVMs(r *http.Request) (func(*Lists) error, error) {
	var entries []inventory.VM
	err := decodeBody(r, &entries)
	return func(l *Lists) error { l.VMs = entries; return nil }, err
}

func putUpstreams(r *http.Request) (func(*Lists) error, error) {
	var entries []inventory.Upstream
	err := decodeBody(r, &entries)
	return func(l *Lists) error { l.Upstreams = entries; return nil }, err
}

func postVM(r *http.Request) (func(*Lists) error, error) {
	var vm inventory.VM
	err := decodeBody(r, &vm)
	return func(l *Lists) error { l.VMs = upsertEntry(l.VMs, vmKey, vm); return nil }, err
}

func postUpstream(r *http.Request) (func(*Lists) error, error) {
	var upstream inventory.Upstream
	err := decodeBody(r, &upstream)
	return func(l *Lists) error { l.Upstreams = upsertEntry(l.Upstreams, upstreamKey, upstream); return nil }, err
}

// stateUpdate is the body of PATCH requests.
type stateUpdate struct {
	State inventory.State `json:"state"`
}

func patchVM(r *http.Request) (func(*Lists) error, error) {
	var body stateUpdate
	name, err := r.PathValue("name"), decodeBody(r, &body)
	return func(l *Lists) (err error) {
		l.VMs, err = updateEntry(l.VMs, vmKey, name, func(v *inventory.VM) { v.State = body.State })
		return err
	}, err
}

func patchUpstream(r *http.Request) (func(*Lists) error, error) {
	var body stateUpdate
	id, err := r.PathValue("id"), decodeBody(r, &body)
	return func(l *Lists) (err error) {
		l.Upstreams, err = updateEntry(l.Upstreams, upstreamKey, id, func(u *inventory.Upstream) { u.State = body.State })
		return err
	}, err
}
