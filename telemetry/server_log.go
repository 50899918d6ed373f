package telemetry

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// ServerLog returns a logger for http.Server.ErrorLog that writes the messages of
// net/http to the given logger, at level warning.
func ServerLog(logger logrus.FieldLogger) *log.Logger {
	return log.New(lineWriter{logger}, "", 0)
}

// lineWriter logs each write as one warning.
type lineWriter struct{ logger logrus.FieldLogger }

func (w lineWriter) Write(p []byte) (int, error) {
	w.logger.Warn(string(bytes.TrimSpace(p)))
	return len(p), nil
}
