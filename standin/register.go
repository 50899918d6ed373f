package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/responsehead"
	"pistachiomount.example/pistachiomount/settings"
)

// registerTimeout limits the registration of one upstream.
const registerTimeout = 5 * time.Second

// RegisterUpstreams adds upstreams to the lists of a platform stand-in.
func RegisterUpstreams(ctx context.Context, address settings.Address, upstreams []inventory.Upstream) error {
	client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{}), Timeout: registerTimeout}
	defer client.CloseIdleConnections()
	for _, upstream := range upstreams {
		if err := registerOne(ctx, client, address, upstream); err != nil {
			return errors.WithType(errors.Annotatef(err, "upstream %s", upstream.ID), ErrRegistrationFailed)
		}
	}
	return nil
}

func registerOne(ctx context.Context, client *http.Client, address settings.Address, upstream inventory.Upstream) error {
	data, err := json.Marshal(upstream)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/upstreams", bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("platform responded with status %d", response.StatusCode)
	}
	return nil
}
