package steering

import "time"

// Result classifies how an attempt on an upstream ended.
type Result uint8

// Results of attempts.
const (
	// Success is a complete response that is not an overload or server error.
	Success Result = iota
	// Failure is a timeout, a broken or truncated response, or a server error.
	Failure
	// Rejected is a response that sheds load.
	Rejected
	// Draining is a response that announces that the upstream is leaving.
	Draining
	// Refused is a refused connection.
	Refused
	// Cancelled is an attempt that the caller aborted, such as the slower one of a hedged pair.
	Cancelled
)

// Outcome is the result of one attempt. Latency is the time since Target.Begin.
type Outcome struct {
	Result  Result
	Latency time.Duration
}
