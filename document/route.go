package document

import "time"

// Mode determines when the requests of a route run.
type Mode string

const (
	// ModeDirect runs each request while its caller waits. It is the default.
	ModeDirect Mode = "direct"
	// ModeDeferred queues each request durably and runs it on spare capacity.
	ModeDeferred Mode = "deferred"
)

// Defaults and limits of route settings.
const (
	DefaultDeadlineMS = 10_000
	// MaxDeadlineMS is the longest deadline in milliseconds. The slots of a lost
	// entry VM stay unused for this long, because an upstream may still be running
	// its requests.
	MaxDeadlineMS       = 30_000
	DefaultMaxBodyBytes = 1 << 20
	MaxBodyBytesLimit   = 64 << 20
)

// Route is a path prefix of a service with the rules for its requests.
type Route struct {
	// Prefix matches whole path segments.
	Prefix  string   `yaml:"prefix"`
	Methods []string `yaml:"methods"`
	// Idempotent requests may be retried and hedged.
	Idempotent bool `yaml:"idempotent"`
	// Public routes need no key.
	Public bool `yaml:"public"`
	Mode   Mode `yaml:"mode"`
	// DeadlineMS is the longest time a request may take, in milliseconds.
	DeadlineMS uint32 `yaml:"deadline_ms"`
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes uint64 `yaml:"max_body_bytes"`
}

// Deadline returns the longest time a request may take.
func (r *Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMS) * time.Millisecond
}

// AllowsMethod reports whether the route accepts requests with the method.
func (r *Route) AllowsMethod(method string) bool {
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}
