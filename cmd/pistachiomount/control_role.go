package main

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/platform"
	"pistachiomount.example/pistachiomount/telemetry"
)

const (
	// minVoters is how many control daemons must vote before a change is accepted.
	minVoters = 3
	// storagePause is the pause before the daemon starts again after its disk refused
	// a write. A full or failing disk often takes writes again after seconds.
	storagePause = time.Second
)

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
	watch := watchSettings(observed.Logger)
	form := s.Bootstrap && first(s.Seeds) == s.Address
	for {
		err := r.serve(ctx, s, observed, watch, form)
		if ctx.Err() != nil || !errors.Is(err, control.ErrStorage) {
			return errors.Trace(err)
		}
		// The log in memory cannot be trusted, so the daemon is made anew from the disk.
		// The process stays, for the platform counts processes that end.
		observed.Logger.WithError(err).Error("disk refused a write: control daemon starts again")
		form = false
		sleep(ctx, storagePause)
	}
}

// serve runs one control daemon until the context or its storage ends.
func (r *controlRole) serve(ctx context.Context, s *platform.Settings, observed *telemetry.Telemetry, watch *settingsWatch, form bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := observed.Logger
	daemon, err := r.daemon(ctx, s, observed, form)
	if err != nil {
		return errors.Trace(err)
	}
	operators, err := listen(ctx, s.OperatorAddress, "operators", log)
	if err != nil {
		return errors.Trace(err)
	}
	api := &platform.OperatorAPI{ControlPlane: daemon, FailureDomains: s.Regions, Log: log}
	calls := serveHTTP(operators, api.Handler(), log)
	defer func() { _ = calls.Close() }()
	go watch.run(ctx, func(s *platform.Settings) { daemon.SetPeers(peers(s)) })
	return errors.Trace(daemon.Run(ctx))
}

// daemon makes a control daemon that listens.
func (r *controlRole) daemon(ctx context.Context, s *platform.Settings, observed *telemetry.Telemetry, form bool) (*control.Daemon, error) {
	log := observed.Logger
	rpc, err := listen(ctx, s.InternalAddress(s.Address, rpcPort), "rpc", log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	own, err := listen(ctx, r.ownAddress(s), "http", log)
	if err != nil {
		_ = rpc.Close()
		return nil, errors.Trace(err)
	}
	daemon, err := control.New(control.Config{
		Name: s.VM, Region: s.Region, FailureDomain: s.FailureDomain, DataDir: s.DataDir, Peers: peers(s),
		RPCListener: rpc, HTTPListener: own, Security: trusted(log), Clock: clock.NewSystemWithoutWall(), Log: log,
		Meter:       observed.MeterProvider.Meter("control"),
		Handlers:    map[string]http.Handler{"/metrics": observed.MetricsHandler()},
		FormCluster: form, MinVoters: minVoters, Lister: platform.NewListClient(s, log),
	})
	if err != nil {
		_, _ = rpc.Close(), own.Close()
		return nil, errors.Annotate(control.ErrStorage, err.Error())
	}
	return daemon, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
