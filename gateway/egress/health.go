package egress

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Health is the result of a health check.
type Health struct {
	// Healthy: the upstream answers under its own id and takes requests.
	Healthy bool
	// Cold is how long it stays cold.
	Cold time.Duration
}

// healthTimeout bounds a health check. It waits for a slot like a request.
const healthTimeout = 2 * time.Second

// CheckHealth asks an upstream for its health.
func (p *Pool) CheckHealth(ctx context.Context, upstream, address, path string) Health {
	reply := p.Do(ctx, &Call{
		Upstream: upstream, Address: address, Method: http.MethodGet, Target: path, Host: address,
		Header: http.Header{}, Deadline: time.Now().Add(healthTimeout), healthCheck: true,
	})
	if reply.Rest != nil {
		_ = reply.Rest.Close()
	}
	healthy := reply.Status == http.StatusOK && reply.Header.Get(p.names.UpstreamID) == upstream
	health := Health{Healthy: healthy}
	if ms, err := strconv.ParseFloat(reply.Header.Get(p.names.Cold), 64); err == nil {
		health.Cold = time.Duration(ms * float64(time.Millisecond))
	}
	return health
}
