package inventory

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// PollerConfig holds what a Poller needs. The callbacks run on the goroutine of
// Run, one at a time, and may be nil.
type PollerConfig struct {
	Client *Client
	Period time.Duration
	Logger logrus.FieldLogger
	// OnVMs and OnUpstreams receive each list that differs from the previous one.
	OnVMs       func(List[VM])
	OnUpstreams func(List[Upstream])
}

// Poller fetches the lists periodically and reports changed ones.
type Poller struct {
	config    PollerConfig
	vms       List[VM]
	upstreams List[Upstream]
}

// NewPoller returns a poller; Run starts it.
func NewPoller(config PollerConfig) *Poller {
	return &Poller{config: config}
}

// Run polls immediately and then once per period until the context ends.
func (p *Poller) Run(ctx context.Context) {
	runPeriodically(ctx, p.config.Period, p.Poll)
}

// Poll fetches both lists once. It must not be called while Run is running.
func (p *Poller) Poll(ctx context.Context) {
	vms, err := p.config.Client.FetchVMs(ctx)
	p.logError(ctx, err)
	if !p.vms.Equal(vms) && p.config.OnVMs != nil {
		p.config.OnVMs(vms)
	}
	p.vms = vms
	upstreams, err := p.config.Client.FetchUpstreams(ctx)
	p.logError(ctx, err)
	if !p.upstreams.Equal(upstreams) && p.config.OnUpstreams != nil {
		p.config.OnUpstreams(upstreams)
	}
	p.upstreams = upstreams
}

func (p *Poller) logError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		p.config.Logger.WithError(err).Error("failed to fetch the platform list")
	}
}

func runPeriodically(ctx context.Context, period time.Duration, round func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		round(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
