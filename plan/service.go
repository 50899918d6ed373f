package plan

import "time"

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the health check path at each upstream.
	HealthPath string `json:"healthPath"`
	// MaxConnections bounds the connections of the whole fleet to one upstream.
	MaxConnections int `json:"maxConnections"`
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration `json:"warmup"`
	// WarmupRate is the rate, in requests per second, that a cold upstream can serve.
	WarmupRate float64 `json:"warmupRate"`
}
