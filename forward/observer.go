package forward

import (
	"time"

	"pistachiomount.example/pistachiomount/forward/reject"
)

// RequestSummary describes a request that ended. It holds no key.
type RequestSummary struct {
	Service, Route, Customer string
	// Status is the HTTP status sent, 0 if the answer was aborted before it.
	Status int
	// Reason is empty unless the request was rejected.
	Reason reject.Reason
	Run    reject.RunState
	// Aborted is set if the caller's connection was cut.
	Aborted  bool
	Replayed bool
	Attempts int
	Elapsed  time.Duration
}

// Observer counts requests. It is called once per request.
type Observer interface {
	RequestEnded(RequestSummary)
}
