package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// MaxResponseBytes bounds the answer that a request may ask for with ?size=N.
const MaxResponseBytes = 64 << 20

// Echo is the answer to a request that ran. Callers compare it with what they
// sent, to notice an answer to another request.
type Echo struct {
	Upstream       string `json:"upstream"`
	Customer       string `json:"customer"`
	RequestID      string `json:"request_id"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	BodyBytes      int64  `json:"body_bytes"`
}

// answerBytes returns the echo as JSON. A size above its length is filled up
// with spaces, which keeps it valid JSON; a smaller size gives spaces only.
func answerBytes(echo Echo, size int) ([]byte, error) {
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

// wantedSize returns the size parameter of a request, or -1 without one.
func wantedSize(r *http.Request) (int, error) {
	text := r.URL.Query().Get("size")
	if text == "" {
		return -1, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > MaxResponseBytes {
		return 0, errors.WithType(errors.Errorf("size is not from 0 to %d", MaxResponseBytes), ErrInvalidConfig)
	}
	return size, nil
}

// writeAnswer sends the answer, or its first half before the connection is
// closed. The size of the whole is announced in both cases.
func writeAnswer(w http.ResponseWriter, status int, data []byte, cut bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if !cut {
		_, _ = w.Write(data) // an error means that the client has gone
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // the documented way to close the connection
}
