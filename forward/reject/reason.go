package reject

import "net/http"

// Reason tells a caller why its request was rejected.
type Reason string

// The reasons sent to callers. The constants follow the names on the wire.
const (
	KeyMissing          Reason = "key_missing"
	KeyUnknown          Reason = "key_unknown"
	KeyAmbiguous        Reason = "key_ambiguous"
	RouteUnknown        Reason = "route_unknown"
	MethodNotAllowed    Reason = "method_not_allowed"
	BodyTooLarge        Reason = "body_too_large"
	HeadersTooLarge     Reason = "headers_too_large"
	BadRequest          Reason = "bad_request"
	OverRate            Reason = "over_rate"
	OverCapacity        Reason = "over_capacity"
	QueueFull           Reason = "queue_full"
	Deadline            Reason = "deadline"
	ViewStale           Reason = "view_stale"
	NotAllowed          Reason = "not_allowed"
	UpstreamFailed      Reason = "upstream_failed"
	IdempotencyConflict Reason = "idempotency_conflict"
	OutcomeUnknown      Reason = "outcome_unknown"
	Leaving             Reason = "leaving"
	JobsFull            Reason = "jobs_full"
)

// RunState tells whether a rejected request may have run.
type RunState string

const (
	// NotRun means that no upstream received any byte of the request.
	NotRun RunState = "not_run"
	// Unknown means that an upstream may have run the request.
	Unknown RunState = "unknown"
)

var statuses = map[Reason]int{
	KeyMissing:          http.StatusUnauthorized,
	KeyUnknown:          http.StatusUnauthorized,
	KeyAmbiguous:        http.StatusBadRequest,
	RouteUnknown:        http.StatusNotFound,
	MethodNotAllowed:    http.StatusMethodNotAllowed,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeadersTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	BadRequest:          http.StatusBadRequest,
	OverRate:            http.StatusTooManyRequests,
	OverCapacity:        http.StatusServiceUnavailable,
	QueueFull:           http.StatusServiceUnavailable,
	Deadline:            http.StatusGatewayTimeout,
	ViewStale:           http.StatusServiceUnavailable,
	NotAllowed:          http.StatusForbidden,
	UpstreamFailed:      http.StatusBadGateway,
	IdempotencyConflict: http.StatusConflict,
	OutcomeUnknown:      http.StatusBadGateway,
	Leaving:             http.StatusServiceUnavailable,
	JobsFull:            http.StatusServiceUnavailable,
}

// Status returns the HTTP status code of the reason, 500 for an unknown reason.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}
