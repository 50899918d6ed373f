package egress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"pistachiomount.example/pistachiomount/announce"
)

// Health is the result of a health check.
type Health struct {
	// Healthy: the upstream responds under its own ID and accepts requests.
	Healthy bool
	// Cold is how long the upstream stays cold; 0 if it reports none.
	Cold time.Duration
	// ColdReported is set if the upstream reports how long it stays cold, even if it is not cold at all.
	ColdReported bool
	// Announced is what the response says about the upstream, if it came from the upstream itself.
	Announced announce.Announcement
}

// healthTimeout limits a health check, which waits for a slot like a request does.
const healthTimeout = 2 * time.Second

// CheckHealth sends a health check to an upstream.
func (p *Pool) CheckHealth(ctx context.Context, upstream, address, path string) Health {
	reply := p.Do(ctx, &Call{
		Upstream: upstream, Address: address, Method: http.MethodGet, Target: path, Host: address,
		Header: http.Header{}, Deadline: time.Now().Add(healthTimeout), healthCheck: true,
	})
	reply.Discard()
	if reply.Header.Get(p.names.UpstreamID) != upstream { // another one at its address, or none
		return Health{}
	}
	health := Health{Healthy: reply.Status == http.StatusOK && !reply.Announced.Leaving, Announced: reply.Announced}
	if ms, err := strconv.ParseFloat(reply.Header.Get(p.names.Cold), 64); err == nil && ms >= 0 {
		health.ColdReported = true
		health.Cold = time.Duration(ms * float64(time.Millisecond))
	}
	return health
}
