package standin

import "net/http"

// maxRecordedBytes bounds each recorded text that a request brings.
const maxRecordedBytes = 256

// RequestKey identifies what an upstream was asked to run.
type RequestKey struct {
	Customer       string `json:"customer"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	RequestID      string `json:"request_id"`
}

// RequestCount tells how often one key ran.
type RequestCount struct {
	RequestKey
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

func keyOf(r *http.Request) RequestKey {
	return RequestKey{
		Customer:       bounded(r.Header.Get("X-Customer")),
		Method:         bounded(r.Method),
		Path:           bounded(r.URL.Path),
		IdempotencyKey: bounded(r.Header.Get("Idempotency-Key")),
		RequestID:      bounded(r.Header.Get("X-Request-Id")),
	}
}

func bounded(text string) string {
	if len(text) > maxRecordedBytes {
		return text[:maxRecordedBytes]
	}
	return text
}
