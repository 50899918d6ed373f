package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// RunUntilSignal calls run with a context that ends at the first SIGTERM or
// SIGINT, so that run can stop gracefully, and returns its result. A second
// signal exits the process at once with ExitFailure.
func RunUntilSignal(run func(context.Context) error) error {
	// Room for two signals: signal.Notify drops what the channel cannot hold.
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
