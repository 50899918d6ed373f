package standin

import "net/http"

// maxRecordedTextBytes is the length to which each recorded text of a request is truncated.
const maxRecordedTextBytes = 256

// RequestKey identifies a request that an upstream ran; repeats of it share the key.
type RequestKey struct {
	Customer       string `json:"customer"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	RequestID      string `json:"request_id"`
}

// RequestCount counts how often requests with one key started and finished.
type RequestCount struct {
	RequestKey
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

func requestKey(r *http.Request) RequestKey {
	return RequestKey{
		Customer:       truncate(r.Header.Get("X-Customer")),
		Method:         truncate(r.Method),
		Path:           truncate(r.URL.Path),
		IdempotencyKey: truncate(r.Header.Get("Idempotency-Key")),
		RequestID:      truncate(r.Header.Get("X-Request-Id")),
	}
}

func truncate(text string) string {
	if len(text) > maxRecordedTextBytes {
		return text[:maxRecordedTextBytes]
	}
	return text
}
