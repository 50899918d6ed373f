package main

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway"
	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/platform"
)

// gatewayRole serves callers.
type gatewayRole struct {
	role
}

func (r *gatewayRole) run(ctx context.Context) error {
	s, observed, err := r.start("gateway")
	if err != nil {
		return errors.Trace(err)
	}
	defer r.stop(ctx, observed)
	log := observed.Logger
	callers, err := listen(ctx, s.CallerAddress, "callers", log)
	if err != nil {
		return errors.Trace(err)
	}
	rpc, err := listen(ctx, s.InternalAddress(s.Address, rpcPort), "rpc", log)
	if err != nil {
		return errors.Trace(err)
	}
	g, err := gateway.New(gateway.Config{
		RPCListener: rpc,
		VM:          s.VM, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.CallerAddress, Listener: callers,
		Controls: peers(s), Security: trusted(log), Lister: platform.NewListClient(s, log),
		Clock: clock.NewSystemWithoutWall(), Log: log, Meter: observed.MeterProvider.Meter("gateway"), Tracer: observed.TracerProvider.Tracer("gateway"),
		Headers: platform.CallerHeaders(), Upstream: platform.UpstreamHeaders(),
		Retries: budget.Limits{
			Ratio: s.Bounds.RetryRatio * budgetShare, Window: s.Bounds.RetryWindow, Slack: s.Bounds.RetrySlack * budgetShare,
		},
		ShutdownTimeout: s.Bounds.GracePeriod, MaxListRate: s.MaxListRate, MaxViewAge: s.Bounds.ContactTimeout / viewAgeParts,
	})
	if err != nil {
		return errors.Trace(err)
	}
	own, err := listen(ctx, r.ownAddress(s), "metrics", log)
	if err != nil {
		return errors.Trace(err)
	}
	metrics := serveHTTP(own, metricsHandler(observed), log)
	defer func() { _ = metrics.Close() }()
	readiness, err := listen(ctx, s.ReadinessAddress, "readiness", log)
	if err != nil {
		return errors.Trace(err)
	}
	checks := serveHTTP(readiness, platform.ReadinessHandler(g.Ready), log)
	defer func() { _ = checks.Close() }()
	directory, err := listen(ctx, s.DirectoryAddress, "directory", log)
	if err != nil {
		return errors.Trace(err)
	}
	lookups := serveHTTP(directory, platform.DirectoryHandler(g, gateway.DirectoryTTL), log)
	defer func() { _ = lookups.Close() }()
	go watchSettings(log).run(ctx, func(s *platform.Settings) { g.SetControls(peers(s)) })
	return errors.Trace(g.Run(ctx))
}

// viewAgeParts divides the time after which a VM counts as cut off. A plan that was not
// confirmed for the result may lack what is in force elsewhere. Half of the time lets a VM
// with working connections confirm its plan in between.
const viewAgeParts = 2

// budgetShare is the part of the retry budget that is used: VMs that do not know of
// each other yet share it out among too few.
const budgetShare = 0.7
