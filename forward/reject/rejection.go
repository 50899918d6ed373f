package reject

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RunHeader repeats the run state of a refusal outside its body.
const RunHeader = "X-Request-Run"

// Rejection is a refusal of a request. It is an error.
type Rejection struct {
	Reason     Reason
	Run        RunState
	RetryAfter time.Duration
	Message    string
}

type wireError struct {
	Reason       Reason   `json:"reason"`
	Run          RunState `json:"run"`
	RetryAfterMS int64    `json:"retry_after_ms"`
	Message      string   `json:"message"`
}

// New returns a refusal of a request that did not run.
func New(reason Reason, message string) *Rejection {
	return &Rejection{Reason: reason, Run: NotRun, Message: message}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(reason Reason, message string) *Rejection {
	return &Rejection{Reason: reason, Run: Unknown, Message: message}
}

// WithRetryAfter sets the delay after which the caller may try again.
func (r *Rejection) WithRetryAfter(d time.Duration) *Rejection {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Rejection) Error() string {
	return string(r.Reason) + " (" + string(r.Run) + "): " + r.Message
}

// Write sends the refusal.
func (r *Rejection) Write(w http.ResponseWriter) {
	body, err := json.Marshal(struct {
		Error wireError `json:"error"`
	}{wireError{r.Reason, r.Run, r.RetryAfter.Milliseconds(), r.Message}})
	if err != nil {
		body = []byte(`{}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(RunHeader, string(r.Run))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Reason.Status())
	_, _ = w.Write(body) // the caller may be gone; nothing is left to do for it
}
