package entry

import (
	"net"
	"net/http"

	"github.com/juju/errors"
)

// serve runs a server until it is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serve")
	}
	return nil
}
