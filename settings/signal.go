package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// RunUntilSignal calls run with a context that is cancelled at the first SIGTERM or
// SIGINT, so that run can shut down gracefully, and returns its result. A second
// signal exits the process immediately with ExitFailure.
func RunUntilSignal(run func(context.Context) error) error {
	// The buffer holds both signals, because signal.Notify does not block on a full channel.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return runUntil(signals, os.Exit, run)
}

func runUntil(signals <-chan os.Signal, exit func(int), run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- run(ctx) }()
	select {
	case err := <-result:
		return err
	case <-signals:
		cancel()
	}
	select {
	case err := <-result:
		return err
	case <-signals:
		exit(ExitFailure)
		return context.Canceled
	}
}
