package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

// outcome is what one request came to.
type outcome struct {
	customer string
	// status is 0 if no whole answer arrived; failure then tells why.
	status  int
	failure failure
	// reason and run are those of a rejection by the system.
	reason, run string
	// mismatch tells in what an answer differs from one to this request.
	mismatch string
	attempts int
	latency  time.Duration
}

// failure is why no whole answer arrived.
type failure string

const (
	failureLookup     failure = "lookup"
	failureConnect    failure = "connect"
	failureTimeout    failure = "timeout"
	failureConnection failure = "connection"
)

// rejection is the body with which the system rejects a request.
type rejection struct {
	Error struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
	} `json:"error"`
}

// echo is the answer of the stand-in upstreams.
type echo struct {
	Customer  string `json:"customer"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"body_bytes"`
}

// evaluate fills in the outcome of an answer.
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

// findMismatch compares an answer with the request. The entry VM replaces the
// request id, so the echoed one is compared with the X-Request-Id header of
// the answer if there is one; the path is different for each request anyway.
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
