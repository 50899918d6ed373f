package telemetry

import (
	"io"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// ErrSettings reports invalid telemetry settings.
const ErrSettings = errors.ConstError("invalid telemetry settings")

// Identity names a process in logs, metrics and traces.
type Identity struct {
	// Service is the name of the program.
	Service string
	// VM is the name of the VM that the process runs on.
	VM string
}

// NewLogger returns a logger that writes one JSON object per line to w, usually
// the standard error stream. Each has the keys time, level, message, service and vm.
func NewLogger(w io.Writer, level string, identity Identity) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "parse log level"), ErrSettings)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	})
	return logger.WithFields(logrus.Fields{"service": identity.Service, "vm": identity.VM}), nil
}
