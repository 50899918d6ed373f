package standin

import (
	"io"
	"net/http"
	"strings"

	"github.com/alexedwards/flow"

	"pistachiomount.example/pistachiomount/inventory"
)

// ServeHTTP answers control requests under /standin, GET /healthz, GET /load,
// and runs every other request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin" || strings.HasPrefix(r.URL.Path, "/standin/") {
		u.control.ServeHTTP(w, r)
		return
	}
	b := u.behaviour.Load()
	connection, _ := r.Context().Value(connectionKey{}).(uint64)
	if b.silent(connection) {
		u.staySilent(r)
	}
	if b.Mode == ModeRefuse {
		panic(http.ErrAbortHandler)
	}
	announceDraining(w.Header(), b.Mode)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		answerHealth(w, b)
	case r.Method == http.MethodGet && r.URL.Path == "/load":
		writeJSON(w, http.StatusOK, u.load(b))
	default:
		u.answer(w, r, b)
	}
}

// ControlHandler serves PUT /standin, GET /standin and GET /standin/record, and
// works in every mode.
func (u *Upstream) ControlHandler() http.Handler {
	return u.control
}

func (u *Upstream) controlRoutes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/standin", func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		err := decodeBody(r, &b)
		if err == nil {
			err = u.SetBehaviour(b)
		}
		answerChange(w, err)
	}, http.MethodPut)
	mux.HandleFunc("/standin", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.behaviour.Load())
	}, http.MethodGet)
	mux.HandleFunc("/standin/record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.Record())
	}, http.MethodGet)
	return mux
}

// staySilent holds the request until the client gives up. The body is read
// first, because net/http notices a closed connection only after its end.
func (u *Upstream) staySilent(r *http.Request) {
	u.recorder.count(func(t *Totals) { t.Silenced++ })
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func announceDraining(header http.Header, mode Mode) {
	if mode == ModeDraining {
		header.Set("X-Draining", "true")
	}
	if mode == ModeDraining503 {
		header.Set("Connection", "close")
	}
}

func answerHealth(w http.ResponseWriter, b *Behaviour) {
	status, text := http.StatusOK, "ok"
	if b.Unhealthy || b.Mode == ModeDraining503 {
		status, text = http.StatusServiceUnavailable, "unavailable"
	}
	writeJSON(w, status, map[string]string{"status": text})
}

func (u *Upstream) load(b *Behaviour) inventory.Load {
	if b.Load != nil {
		return *b.Load
	}
	return inventory.Load{InFlight: u.recorder.running(), Slots: u.config.Slots}
}
