package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/telemetry"
)

const (
	// readHeaderTimeout closes connections on which no request arrives.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds a graceful stop.
	shutdownTimeout = 10 * time.Second
)

// Serve serves the handler on the listener until the context ends, then lets
// running requests finish.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, logger logrus.FieldLogger) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.ServerLog(logger)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Annotate(err, "serve")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(stopping)
	if err != nil {
		_ = server.Close()
	}
	<-failed
	return errors.Annotate(err, "graceful stop")
}
