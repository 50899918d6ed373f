package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/control"
)

// Init forms the cluster at the first address only: with a retry at another
// daemon, two daemons could form two clusters.
func (c *Client) Init(ctx context.Context) (*control.InitReport, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.Trace(ErrUnreachable)
	}
	resp, err := c.attempt(ctx, c.Addresses[0], http.MethodPost, "/v1/init", nil)
	if err != nil {
		return nil, errors.Annotate(ErrUnreachable, err.Error())
	}
	report := &control.InitReport{}
	return report, decode(resp, report)
}

// Submit sends a document to an environment, trial or production. A document that
// is rejected for its number or digest yields a report, not an error.
func (c *Client) Submit(ctx context.Context, env string, raw []byte) (*control.SubmitReport, error) {
	resp, err := c.do(ctx, http.MethodPost, "/v1/environments/"+env+"/documents", raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	report := &control.SubmitReport{}
	if json.Unmarshal(resp.body, report) == nil && report.Status != "" {
		return report, nil
	}
	return nil, newRejectedError(resp)
}

// Document returns the bytes of an accepted document; number 0 selects the one in force.
func (c *Client) Document(ctx context.Context, env string, number uint64) ([]byte, error) {
	name := "current"
	if number > 0 {
		name = strconv.FormatUint(number, 10)
	}
	resp, err := c.do(ctx, http.MethodGet, "/v1/environments/"+env+"/documents/"+name, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.status != http.StatusOK {
		return nil, newRejectedError(resp)
	}
	return resp.body, nil
}

// History returns the accepted documents, newest first.
func (c *Client) History(ctx context.Context, env string) (*control.HistoryReport, error) {
	report := &control.HistoryReport{}
	return report, c.get(ctx, "/v1/environments/"+env+"/history", report)
}

// Status returns the leader's view of the installation.
func (c *Client) Status(ctx context.Context) (*control.StatusReport, error) {
	report := &control.StatusReport{}
	return report, c.get(ctx, "/v1/status", report)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	return decode(resp, out)
}
