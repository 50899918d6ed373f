package gateway

import (
	"net/http"
	"strconv"
	"time"

	"pistachiomount.example/pistachiomount/gateway/ingress"
)

// Reason is why a request got no response from an upstream.
type Reason string

// Reasons, as in logs, metrics and response bodies.
const (
	ReasonNoPlan       Reason = "no_plan"
	ReasonUnknownRoute Reason = "route_unknown"
	ReasonUnknownKey   Reason = "key_unknown"
	ReasonViewStale    Reason = "view_stale"
	ReasonOverRate     Reason = "over_rate"
	// ReasonNoShare: this VM holds no share of the customer's rate, as after a start.
	ReasonNoShare Reason = "no_share"
	// ReasonTokenDelayed: no VM replied in time to a request for a token of the customer's rate.
	ReasonTokenDelayed Reason = "token_delayed"
	ReasonOverCapacity Reason = "over_capacity"
	// ReasonShiftLimit: only upstreams of regions to which no further request may shift now have room.
	ReasonShiftLimit   Reason = "shift_limit"
	ReasonNoUpstream   Reason = "no_upstream"
	ReasonRetryBudget  Reason = "retry_budget"
	ReasonTimeout      Reason = "timeout"
	ReasonUpstreamLost Reason = "upstream_lost"
	ReasonCallerGone   Reason = "caller_gone"
	// ReasonPaused: all upstreams that may run the request have asked for a pause.
	ReasonPaused Reason = "upstreams_paused"
	// ReasonStopping: this VM stops before the request is likely to be answered.
	ReasonStopping Reason = "stopping"
	// ReasonPermissionExpired: what allowed the request ran out before it was sent, as in a process
	// that was paused.
	ReasonPermissionExpired Reason = "permission_expired"
)

// notRunResponse is the response to a request that did not run and never will.
func notRunResponse(status int, reason Reason, after time.Duration) *ingress.Response {
	response := errorResponse(status, reason)
	response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return response
}

// errorResponse is an error response that does not say whether the request ran.
func errorResponse(status int, reason Reason) *ingress.Response {
	return &ingress.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(string(reason) + "\n"),
	}
}
