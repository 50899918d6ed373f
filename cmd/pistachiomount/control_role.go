package main

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/platform"
)

// minVoters is how many control daemons must vote before a change is accepted.
const minVoters = 3

// controlRole serves operators and keeps the state.
type controlRole struct {
	role
}

func (r *controlRole) run(ctx context.Context) error {
	s, observed, err := r.start("control")
	if err != nil {
		return errors.Trace(err)
	}
	defer r.stop(ctx, observed)
	log := observed.Logger
	rpc, err := listen(ctx, s.Internal(s.Address, rpcPort), "rpc", log)
	if err != nil {
		return errors.Trace(err)
	}
	own, err := listen(ctx, s.Internal(s.Address, metricsPort), "http", log)
	if err != nil {
		return errors.Trace(err)
	}
	daemon, err := control.New(control.Config{
		Name: s.VM, Region: s.Region, FailureDomain: s.FailureDomain, DataDir: s.DataDir, Peers: peers(s),
		RPCListener: rpc, HTTPListener: own, Security: trusted(log), Clock: clock.NewSteady(), Log: log,
		Meter:    observed.MeterProvider.Meter("control"),
		Handlers: map[string]http.Handler{"/metrics": observed.MetricsHandler()},
		Form:     s.FirstStart && first(s.Seeds) == s.Address, MinVoters: minVoters,
		Lister: platform.NewListClient(s, log),
	})
	if err != nil {
		return errors.Trace(err)
	}
	operators, err := listen(ctx, s.OperatorAddress, "operators", log)
	if err != nil {
		return errors.Trace(err)
	}
	api := &platform.Operator{Plans: daemon, FailureDomains: s.Regions, Log: log}
	calls := serveHTTP(operators, api.Handler(), log)
	defer func() { _ = calls.Close() }()
	go watchSettings(log).run(ctx, func(s *platform.Settings) { daemon.SetPeers(peers(s)) })
	return errors.Trace(daemon.Run(ctx))
}
