package plan

import "time"

// Service is a set of upstreams that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check at each upstream.
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int `json:"maxConnections"`
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration `json:"warmup"`
	// WarmupRate is the requests per second that a cold upstream takes.
	WarmupRate float64 `json:"warmupRate"`
}
