package harness

import "net/http"

// Upstream is a sound endpoint of the one service.
type Upstream struct {
	ID       string
	address  string
	zone     string
	run      http.HandlerFunc
	draining bool
}

// ServeHTTP answers health checks, rejects requests for other endpoints, and runs all others.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.ID)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.ID {
		w.Header().Set("X-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", u.ID+"."+id)
	u.run(w, r)
}
