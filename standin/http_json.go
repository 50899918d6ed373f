package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// maxConfigBytes bounds configuration files and bodies of control requests.
const maxConfigBytes = 16 << 20

// writeJSON answers with a value. A write error means that the client has gone.
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

func decodeBody(r *http.Request, into any) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxConfigBytes))
	if err != nil {
		return errors.WithType(errors.Annotate(err, "body"), ErrInvalidConfig)
	}
	return decodeStrict(data, into)
}

// decodeStrict refuses unknown fields, so that a mistyped one is noticed.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.WithType(errors.Annotate(err, "JSON"), ErrInvalidConfig)
	}
	return nil
}
