package settings

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Listen opens a TCP listener and logs one line with the message "listening" and the
// bound address, from which scripts and tests read the port.
func Listen(address Address, name string, logger logrus.FieldLogger) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "open listener %s", name), ErrListen)
	}
	logger.WithFields(logrus.Fields{
		"listener": name,
		"address":  listener.Addr().String(),
	}).Info("listening")
	return listener, nil
}
