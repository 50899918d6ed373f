package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// MaxResponseBytes is the largest response that a request may ask for with ?size=N.
const MaxResponseBytes = 64 << 20

// Echo is the response to a request that ran. Callers compare it with the
// request they sent to detect a response that belongs to another request.
type Echo struct {
	Upstream       string `json:"upstream"`
	Customer       string `json:"customer"`
	RequestID      string `json:"request_id"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	BodyBytes      int64  `json:"body_bytes"`
}

// encodeEcho returns the echo as JSON. Up to a larger size it is padded with
// spaces, which keeps it valid JSON; for a smaller size it returns only spaces.
func encodeEcho(echo Echo, size int) ([]byte, error) {
	data, err := json.Marshal(echo)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if size < 0 {
		return data, nil
	}
	if size < len(data) {
		return bytes.Repeat([]byte{' '}, size), nil
	}
	return append(data, bytes.Repeat([]byte{' '}, size-len(data))...), nil
}

// requestedSize returns the size parameter of a request, or -1 if there is none.
func requestedSize(r *http.Request) (int, error) {
	text := r.URL.Query().Get("size")
	if text == "" {
		return -1, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > MaxResponseBytes {
		return 0, errors.WithType(errors.Errorf("size is not a number from 0 to %d", MaxResponseBytes), ErrInvalidConfig)
	}
	return size, nil
}

// writeResponse sends the response. If cut is set, it closes the connection after
// the first half. Content-Length is the complete size in both cases.
func writeResponse(w http.ResponseWriter, status int, data []byte, cut bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if !cut {
		_, _ = w.Write(data) // an error means that the client has disconnected
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // the documented way to close the connection
}
