package inventory

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/responsehead"
)

const (
	// DefaultProbeConcurrency bounds concurrent probes.
	DefaultProbeConcurrency = 16
	// DefaultProbeTimeout bounds each of the two requests of a probe.
	DefaultProbeTimeout = time.Second
	// maxProbeBytes bounds the body of a response; a load report takes under 100 bytes.
	maxProbeBytes = 4 << 10
)

// LoadProbeConfig holds what a LoadProbe needs. Clock and OnReport are required.
type LoadProbeConfig struct {
	Clock clock.Clock
	// OnReport receives each report. It is called concurrently.
	OnReport func(LoadReport)
	// Concurrency and Timeout default to DefaultProbeConcurrency and DefaultProbeTimeout.
	Concurrency int
	Timeout     time.Duration
}

// LoadProbe requests the health and load of upstreams.
type LoadProbe struct {
	config    LoadProbeConfig
	transport *responsehead.Transport
}

// NewLoadProbe returns a probe; Run starts it.
func NewLoadProbe(config LoadProbeConfig) *LoadProbe {
	if config.Concurrency == 0 {
		config.Concurrency = DefaultProbeConcurrency
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultProbeTimeout
	}
	return &LoadProbe{config: config, transport: newTransport()}
}

// Run probes the upstreams that source returns, immediately and then once per
// period, until the context ends.
func (p *LoadProbe) Run(ctx context.Context, period time.Duration, source func() []Upstream) {
	defer p.Close()
	runPeriodically(ctx, period, func(ctx context.Context) { p.Probe(ctx, source()) })
}

// Probe probes each upstream once and returns after the last OnReport call.
// Upstreams whose probe has not started when the context ends get no report.
func (p *LoadProbe) Probe(ctx context.Context, upstreams []Upstream) {
	var group errgroup.Group
	group.SetLimit(p.config.Concurrency)
	for _, upstream := range upstreams {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			p.config.OnReport(p.probeOne(ctx, upstream))
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// Close closes idle connections.
func (p *LoadProbe) Close() {
	p.transport.CloseIdleConnections()
}

func (p *LoadProbe) probeOne(ctx context.Context, upstream Upstream) LoadReport {
	report := LoadReport{UpstreamID: upstream.ID, MeasuredAt: p.config.Clock.Now()}
	base := "http://" + upstream.Address.String()
	health, err := fetch(ctx, p.transport, base+"/healthz", p.config.Timeout, maxProbeBytes)
	if err != nil {
		// Skip the load request if the health request failed, so that an
		// unresponsive upstream costs one timeout only.
		report.Err = probeError(err, upstream.ID)
		return report
	}
	report.Healthy = health.status == http.StatusOK
	report.Leaving = announcesLeaving(health)
	got, err := fetch(ctx, p.transport, base+"/load", p.config.Timeout, maxProbeBytes)
	if err == nil {
		report.Leaving = report.Leaving || announcesLeaving(got)
		report.Load, err = decodeLoad(got)
	}
	report.Err = probeError(err, upstream.ID)
	report.HasLoad = err == nil
	return report
}

// announcesLeaving reports whether a response signals that the upstream is draining.
func announcesLeaving(got httpResponse) bool {
	return strings.EqualFold(got.header.Get("X-Draining"), "true") ||
		got.status == http.StatusServiceUnavailable && got.closing
}

func decodeLoad(got httpResponse) (Load, error) {
	if got.status != http.StatusOK {
		return Load{}, errors.Errorf("load status %d", got.status)
	}
	var decoded struct {
		InFlight *int `json:"in_flight"`
		Slots    *int `json:"slots"`
	}
	if err := json.Unmarshal(got.body, &decoded); err != nil {
		return Load{}, errors.Annotate(err, "load")
	}
	if decoded.InFlight == nil || decoded.Slots == nil || *decoded.InFlight < 0 || *decoded.Slots <= 0 {
		return Load{}, errors.NotValidf("load without in_flight >= 0 and slots >= 1")
	}
	return Load{InFlight: *decoded.InFlight, Slots: *decoded.Slots}, nil
}

func probeError(err error, id string) error {
	if err == nil {
		return nil
	}
	return errors.WithType(errors.Annotatef(err, "upstream %s", id), ErrProbe)
}
