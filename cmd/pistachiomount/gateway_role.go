package main

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/gateway"
	"pistachiomount.example/pistachiomount/gateway/budget"
	"pistachiomount.example/pistachiomount/platform"
)

// gatewayRole runs the gateway, which serves callers.
type gatewayRole struct {
	baseRole
}

func (r *gatewayRole) run(ctx context.Context) error {
	s, tel, err := r.start("gateway")
	if err != nil {
		return errors.Trace(err)
	}
	defer r.stop(ctx, tel)
	log := tel.Logger
	callers, err := listen(ctx, s.CallerAddress, "callers", log)
	if err != nil {
		return errors.Trace(err)
	}
	rpc, err := listen(ctx, s.InternalAddress(s.Address, rpcPortIndex), "rpc", log)
	if err != nil {
		return errors.Trace(err)
	}
	g, err := gateway.New(gateway.Config{
		RPCListener: rpc,
		VM:          s.VM, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.CallerAddress, Listener: callers,
		Controls: peerAddresses(s), Security: trustedNetworkSecurity(log), Lister: platform.NewListClient(s, log),
		Clock: clock.NewSystemWithoutWall(), Log: log, Meter: tel.MeterProvider.Meter("gateway"), Tracer: tel.TracerProvider.Tracer("gateway"),
		Headers: platform.CallerHeaders(), Upstream: platform.UpstreamHeaders(),
		Retries: budget.Limits{
			Ratio: s.Bounds.RetryRatio * retryBudgetShare, Window: s.Bounds.RetryWindow, Slack: s.Bounds.RetrySlack * retryBudgetShare,
		},
		BufferMemory: int64(s.MemoryMB) << 20 / bufferMemoryDivisor, LinkRate: s.LinkRate, ShutdownTimeout: s.Bounds.GracePeriod, MaxListRate: s.MaxListRate, MaxViewAge: s.Bounds.ContactTimeout / viewAgeDivisor,
	})
	if err != nil {
		return errors.Trace(err)
	}
	metricsListener, err := listen(ctx, r.internalHTTPAddress(s), "metrics", log)
	if err != nil {
		return errors.Trace(err)
	}
	metricsServer := serveHTTP(metricsListener, metricsHandler(tel), log)
	defer func() { _ = metricsServer.Close() }()
	readiness, err := listen(ctx, s.ReadinessAddress, "readiness", log)
	if err != nil {
		return errors.Trace(err)
	}
	readinessServer := serveHTTP(readiness, platform.ReadinessHandler(g.Ready), log)
	defer func() { _ = readinessServer.Close() }()
	directory, err := listen(ctx, s.DirectoryAddress, "directory", log)
	if err != nil {
		return errors.Trace(err)
	}
	directoryServer := serveHTTP(directory, platform.DirectoryHandler(g, gateway.DirectoryTTL), log)
	defer func() { _ = directoryServer.Close() }()
	go newSettingsWatcher(log, r.hangups).run(ctx, func(s *platform.Settings) { g.SetControls(peerAddresses(s)) })
	return errors.Trace(g.Run(ctx))
}

// viewAgeDivisor divides the contact timeout, after which a VM counts as isolated, to get the
// maximum age of an unconfirmed plan. An older plan may lack changes that are in force elsewhere.
// Half of the timeout lets a VM with working connections confirm its plan in between.
const viewAgeDivisor = 2

// retryBudgetShare is the used fraction of the retry budget. The rest is a margin for VMs that
// do not know of each other yet and divide the budget among too few.
const retryBudgetShare = 0.7

// bufferMemoryDivisor divides the memory of the VM to get the part that buffered requests
// may use, and that buffered responses may use.
const bufferMemoryDivisor = 8
