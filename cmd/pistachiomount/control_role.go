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
	// minVoters is the number of voting control daemons required before changes are accepted.
	minVoters = 3
	// storageRetryDelay is the delay before the daemon restarts after a failed disk write. A full
	// or failing disk often accepts writes again after seconds.
	storageRetryDelay = time.Second
)

// controlRole runs the control daemon, which serves operators and stores the state.
type controlRole struct {
	baseRole
}

func (r *controlRole) run(ctx context.Context) error {
	s, tel, err := r.start("control")
	if err != nil {
		return errors.Trace(err)
	}
	defer r.stop(ctx, tel)
	watcher := newSettingsWatcher(tel.Logger, r.hangups)
	form := s.Bootstrap && lowestAddress(s.Seeds) == s.Address
	for {
		belonged, err := r.serve(ctx, s, tel, watcher, form)
		if ctx.Err() != nil || !errors.Is(err, control.ErrStorage) {
			return errors.Trace(err)
		}
		// The log in memory may differ from the disk, so a new daemon is built from the disk. The
		// process keeps running because the platform counts process exits.
		tel.Logger.WithError(err).Error("storage failed, restarting the control daemon")
		form = form && !belonged // the cluster may go on without this disk
		sleep(ctx, storageRetryDelay)
	}
}

// serve runs one control daemon until the context ends or its storage fails. It reports whether the daemon has
// belonged to a cluster.
func (r *controlRole) serve(ctx context.Context, s *platform.Settings, tel *telemetry.Telemetry, watcher *settingsWatcher, form bool) (belonged bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := tel.Logger
	daemon, err := r.newDaemon(ctx, s, tel, form)
	if err != nil {
		return false, errors.Trace(err)
	}
	operators, err := listen(ctx, s.OperatorAddress, "operators", log)
	if err != nil {
		return false, errors.Trace(err)
	}
	api := &platform.OperatorAPI{ControlPlane: daemon, FailureDomains: s.Regions, Log: log}
	operatorServer := serveHTTP(operators, api.Handler(), log)
	defer func() { _ = operatorServer.Close() }()
	go watcher.run(ctx, func(s *platform.Settings) { daemon.SetPeers(peerAddresses(s)) })
	err = daemon.Run(ctx)
	return daemon.BelongsToCluster(), errors.Trace(err)
}

// newDaemon makes a control newDaemon that listens.
func (r *controlRole) newDaemon(ctx context.Context, s *platform.Settings, tel *telemetry.Telemetry, form bool) (*control.Daemon, error) {
	log := tel.Logger
	rpc, err := listen(ctx, s.InternalAddress(s.Address, rpcPortIndex), "rpc", log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpListener, err := listen(ctx, r.internalHTTPAddress(s), "http", log)
	if err != nil {
		_ = rpc.Close()
		return nil, errors.Trace(err)
	}
	daemon, err := control.New(control.Config{
		Name: s.VM, Region: s.Region, FailureDomain: s.FailureDomain, DataDir: s.DataDir, Peers: peerAddresses(s),
		RPCListener: rpc, HTTPListener: httpListener, Security: trustedNetworkSecurity(log), Clock: clock.NewSystemWithoutWall(), Log: log,
		Meter:       tel.MeterProvider.Meter("control"),
		Handlers:    map[string]http.Handler{"/metrics": tel.MetricsHandler()},
		FormCluster: form, MinVoters: minVoters, Lister: platform.NewListClient(s, log),
	})
	if err != nil {
		_, _ = rpc.Close(), httpListener.Close()
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
