package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// response is what a caller got.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// reason returns the machine-readable reason of a refusal.
func (r response) reason() (reason, run string) {
	var refusal struct {
		Error struct{ Reason, Run string }
	}
	_ = json.Unmarshal(r.body, &refusal)
	return refusal.Error.Reason, refusal.Error.Run
}

// request sends one request on a connection of its own.
func request(t *testing.T, address, method, path, key string, header map[string]string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"truck":1}`))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}
