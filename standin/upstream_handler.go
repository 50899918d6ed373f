package standin

import (
	"io"
	"net/http"
	"strings"

	"github.com/alexedwards/flow"

	"pistachiomount.example/pistachiomount/inventory"
)

// ServeHTTP serves control requests under /standin, GET /healthz and GET /load,
// and runs every other request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin" || strings.HasPrefix(r.URL.Path, "/standin/") {
		u.control.ServeHTTP(w, r)
		return
	}
	b := u.behaviour.Load()
	connNumber, _ := r.Context().Value(connNumberKey{}).(uint64)
	if b.isSilent(connNumber) {
		u.holdUntilDisconnect(r)
	}
	if b.Mode == ModeRefuse {
		panic(http.ErrAbortHandler)
	}
	setDrainHeaders(w.Header(), b.Mode)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		writeHealth(w, b)
	case r.Method == http.MethodGet && r.URL.Path == "/load":
		writeJSON(w, http.StatusOK, u.load(b))
	default:
		u.serveRequest(w, r, b)
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
		writeChangeResult(w, err)
	}, http.MethodPut)
	mux.HandleFunc("/standin", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.behaviour.Load())
	}, http.MethodGet)
	mux.HandleFunc("/standin/record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, u.Record())
	}, http.MethodGet)
	return mux
}

// holdUntilDisconnect blocks until the client disconnects. The body is read first,
// because net/http detects a closed connection only after the end of the body.
func (u *Upstream) holdUntilDisconnect(r *http.Request) {
	u.recorder.updateTotals(func(t *Totals) { t.Silenced++ })
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func setDrainHeaders(header http.Header, mode Mode) {
	if mode == ModeDraining {
		header.Set("X-Draining", "true")
	}
	if mode == ModeDraining503 {
		header.Set("Connection", "close")
	}
}

func writeHealth(w http.ResponseWriter, b *Behaviour) {
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
