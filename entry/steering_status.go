package entry

import (
	"encoding/json"
	"net/http"

	"pistachiomount.example/pistachiomount/steering"
)

// steeringStatus is the response body of GET /v1/steering.
type steeringStatus struct {
	Regions   []regionStatus   `json:"regions"`
	Drains    []drainStatus    `json:"drains"`
	Upstreams []upstreamStatus `json:"upstreams"`
}

type regionStatus struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Share is the fraction of this VM's requests of the service.
	Share float64 `json:"share"`
	// Headroom is the fraction of the capacity that the predicted load leaves free; it
	// is omitted while no load has been measured.
	Headroom *float64 `json:"headroom,omitempty"`
	Stale    bool     `json:"stale"`
}

type drainStatus struct {
	Service     string  `json:"service"`
	Region      string  `json:"region"`
	Upstream    string  `json:"upstream,omitempty"` // empty for a drain of the whole region
	ShareBefore float64 `json:"share_before"`
	ShareNow    float64 `json:"share_now"`
	Remaining   float64 `json:"remaining"`
	InFlight    int     `json:"in_flight"`
}

type upstreamStatus struct {
	ID                string                `json:"id"`
	Service           string                `json:"service"`
	Region            string                `json:"region"`
	Use               steering.ServingState `json:"use"`
	InFlight          int                   `json:"in_flight"`
	RequestsPerSecond float64               `json:"requests_per_second"`
	LatencyMS         float64               `json:"latency_ms"`
	Failures          int                   `json:"failures"`
	EjectedForMS      int64                 `json:"ejected_for_ms"`
}

// serveSteering reports shares, drains and upstreams to operators.
func (d *Daemon) serveSteering(w http.ResponseWriter, _ *http.Request) {
	out := steeringStatus{Regions: []regionStatus{}, Drains: []drainStatus{}, Upstreams: []upstreamStatus{}}
	for _, s := range d.steerer.Status() {
		region := regionStatus{Service: s.Service, Region: s.Region, Share: s.Share, Stale: s.Stale}
		if s.Reported {
			headroom := max(0, 1-s.Load)
			region.Headroom = &headroom
		}
		out.Regions = append(out.Regions, region)
	}
	for _, s := range d.steerer.Drains() {
		out.Drains = append(out.Drains, drainStatus{
			Service: s.Service, Region: s.Region, Upstream: s.Upstream, ShareBefore: s.ShareBefore,
			ShareNow: s.ShareNow, Remaining: s.Remaining(), InFlight: s.InFlight,
		})
	}
	for _, s := range d.steerer.UpstreamStatuses() {
		out.Upstreams = append(out.Upstreams, upstreamStatus{
			ID: s.Upstream.ID, Service: s.Upstream.Service, Region: s.Upstream.Region, Use: s.State,
			InFlight: s.InFlight, RequestsPerSecond: s.RequestsPerSecond,
			LatencyMS: float64(s.Latency.Microseconds()) / 1000, Failures: s.Failures,
			EjectedForMS: s.EjectedFor.Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected
}
