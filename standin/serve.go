package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/telemetry"
)

const (
	// readHeaderTimeout limits the time to read the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout limits a graceful shutdown.
	shutdownTimeout = 10 * time.Second
)

// Serve serves the handler on the listener until the context ends, then shuts
// down gracefully.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, logger logrus.FieldLogger) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headlimit.MaxBytes, ErrorLog: telemetry.ServerLog(logger)}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Annotate(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if err != nil {
		_ = server.Close()
	}
	<-serveErr
	return errors.Annotate(err, "graceful stop")
}
