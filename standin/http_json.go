package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// maxConfigBytes is the largest body of a control request.
const maxConfigBytes = 16 << 20

// writeJSON responds with a value. A write error means that the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrInvalidConfig):
		status = http.StatusBadRequest
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrTooManyEntries):
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

func decodeBody(r *http.Request, target any) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxConfigBytes))
	if err != nil {
		return errors.WithType(errors.Annotate(err, "read body"), ErrInvalidConfig)
	}
	return decodeStrict(data, target)
}

// decodeStrict decodes JSON and rejects unknown fields, so that misspelled ones are reported.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.WithType(errors.Annotate(err, "decode JSON"), ErrInvalidConfig)
	}
	return nil
}
