package reject

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RunHeader is the response header that repeats the run state of a rejection.
const RunHeader = "X-Request-Run"

// Rejection is the error response to a request that was rejected. It implements error.
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

// New returns a rejection of a request that did not run.
func New(reason Reason, message string) *Rejection {
	return &Rejection{Reason: reason, Run: NotRun, Message: message}
}

// NewUnknown returns a rejection of a request that may have run.
func NewUnknown(reason Reason, message string) *Rejection {
	return &Rejection{Reason: reason, Run: Unknown, Message: message}
}

// WithRetryAfter sets the delay after which the caller may retry and returns r.
func (r *Rejection) WithRetryAfter(d time.Duration) *Rejection {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Rejection) Error() string {
	return string(r.Reason) + " (" + string(r.Run) + "): " + r.Message
}

// Write sends the rejection as a JSON error response.
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
	_, _ = w.Write(body) // the caller may have disconnected, which needs no handling
}
