package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ask sends one request to an entry machine and returns its id and the status, 0 without an answer.
func ask(log *record, front, method, path, credential string, deadline time.Duration) (string, int) {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, nil)
	if err != nil {
		return id, 0
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("X-Credential", credential)
	log.add("sent %s %s %s with key %s to %s", id, method, path, credential, front)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		log.add("answer %s: none (%v)", id, err)
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	log.add("answer %s: %d", id, response.StatusCode)
	return id, response.StatusCode
}

// isReady reports whether an entry machine answers the platform's check with 200.
func isReady(m *machine) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + m.address(readinessPort) + "/pistachiomount/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
