package forward

import (
	"time"

	"pistachiomount.example/pistachiomount/forward/reject"
)

// RequestSummary describes a finished request. It contains no key.
type RequestSummary struct {
	Service, Route, Customer string
	// Status is the HTTP status sent, or 0 if the response was aborted before it.
	Status int
	// Reason is empty unless the request was rejected.
	Reason reject.Reason
	Run    reject.RunState
	// Aborted is set if the caller's connection was aborted before the response was
	// complete.
	Aborted  bool
	Replayed bool
	Attempts int
	Elapsed  time.Duration
}

// Observer records finished requests. RequestEnded is called once per request.
type Observer interface {
	RequestEnded(RequestSummary)
}
