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
)

const (
	// DefaultProbeConcurrency bounds the probes that run at once.
	DefaultProbeConcurrency = 16
	// DefaultProbeTimeout bounds each of the two requests of a probe.
	DefaultProbeTimeout = time.Second
	// maxProbeBytes bounds the body of an answer; a load report takes under 100 bytes.
	maxProbeBytes = 4 << 10
)

// LoadProbeConfig holds what a LoadProbe needs. Clock and OnReport are required.
type LoadProbeConfig struct {
	Clock clock.Clock
	// OnReport gets each report. It is called from several goroutines at once.
	OnReport func(LoadReport)
	// Concurrency and Timeout have defaults.
	Concurrency int
	Timeout     time.Duration
}

// LoadProbe asks upstreams for their health and load.
type LoadProbe struct {
	config    LoadProbeConfig
	transport *http.Transport
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

// Run probes the upstreams that source returns, at once and then at each
// period, until the context ends.
func (p *LoadProbe) Run(ctx context.Context, period time.Duration, source func() []Upstream) {
	defer p.Close()
	runPeriodically(ctx, period, func(ctx context.Context) { p.Probe(ctx, source()) })
}

// Probe does one round and returns when all reports were handed on. Upstreams
// not yet started when the context ends get no report.
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
		// An upstream without a health answer is not asked for its load, so
		// that a silent one occupies a probe for one timeout only.
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

// announcesLeaving reports the signals by which an upstream announces that it drains.
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
		return Load{}, errors.NotValidf("load without in_flight of at least 0 and slots of at least 1")
	}
	return Load{InFlight: *decoded.InFlight, Slots: *decoded.Slots}, nil
}

func probeError(err error, id string) error {
	if err == nil {
		return nil
	}
	return errors.WithType(errors.Annotatef(err, "upstream %s", id), ErrProbe)
}
