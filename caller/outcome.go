package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// outcome is the result of one request, including all its attempts.
type outcome struct {
	customer string
	// status is 0 if there was no complete response; failure is then the cause.
	status  int
	failure failure
	// reason and run are copied from a rejection by the system.
	reason, run string
	// mismatch names what in the response does not match the request; empty if it matches.
	mismatch string
	attempts int
	latency  time.Duration
}

// failure is the cause of a missing or incomplete response.
type failure string

const (
	failureLookup     failure = "lookup"
	failureConnect    failure = "connect"
	failureTimeout    failure = "timeout"
	failureConnection failure = "connection"
)

// rejection is the response body of a request that the system rejects.
type rejection struct {
	Error struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	} `json:"error"`
}

// echo is the response body of the stand-in upstreams, which describes the request.
type echo struct {
	Customer  string `json:"customer"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"body_bytes"`
}

// evaluate sets the outcome of a request that got a complete response.
func (o *outcome) evaluate(req request, responseBytes int, resp response) {
	o.status = resp.status
	if resp.status == http.StatusOK {
		o.mismatch = findMismatch(o.customer, req, responseBytes, resp)
		return
	}
	var rejected rejection
	if json.Unmarshal(resp.body, &rejected) == nil && rejected.Error.Reason != "" {
		o.reason, o.run = rejected.Error.Reason, rejected.Error.Run
	}
}

// findMismatch compares a response with its request and returns what does not match,
// or an empty string. The entry VM replaces the request id, so the echoed id is
// compared with the X-Request-Id header of the response, if present. A response to
// another request is detected in any case, because each request has a unique path.
func findMismatch(customer string, req request, responseBytes int, resp response) string {
	var echoed echo
	if err := json.Unmarshal(resp.body, &echoed); err != nil {
		return "answer is no JSON"
	}
	id := resp.header.Get("X-Request-Id")
	switch {
	case echoed.Customer != customer:
		return "customer"
	case echoed.Path != req.path:
		return "path"
	case echoed.Method != req.method:
		return "method"
	case id != "" && echoed.RequestID != id:
		return "request id"
	case echoed.BodyBytes != req.bodyBytes:
		return "body size"
	case responseBytes > 0 && len(resp.body) != responseBytes:
		return "answer size"
	default:
		return ""
	}
}
