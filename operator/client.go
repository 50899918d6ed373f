package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/headlimit"
	"pistachiomount.example/pistachiomount/responsehead"
)

const (
	// attemptTimeout bounds one request to one control daemon.
	attemptTimeout = 12 * time.Second
	// maxResponseBytes bounds a response body; the status of thousands of VMs fits.
	maxResponseBytes = 64 << 20
	// maxRounds is the maximum number of passes over the list of control daemons.
	maxRounds = 3
	// roundDelay leaves time for a leader election between two rounds.
	roundDelay = time.Second
)

// Client calls the control daemons of one installation.
type Client struct {
	// Addresses are the HTTP addresses of control daemons.
	Addresses []string
	// Token is the operator's token.
	Token string
	// HTTP defaults to a client without a proxy that checks the status lines of responses.
	HTTP *http.Client
}

// reply is the HTTP response of a control daemon with its body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request to the control daemons in order until one returns a final response.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*reply, error) {
	var lastErr error
	for round := range maxRounds {
		if round > 0 {
			if err := sleep(ctx, roundDelay); err != nil {
				return nil, errors.Annotate(ErrUnreachable, err.Error())
			}
		}
		for _, address := range c.Addresses {
			resp, err := c.attemptWithRedirect(ctx, address, method, path, body)
			if err == nil {
				return resp, nil
			}
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = errors.New("no control daemon address is configured")
	}
	var rejected *RejectedError
	if errors.As(lastErr, &rejected) {
		return nil, rejected
	}
	return nil, errors.Annotate(ErrUnreachable, lastErr.Error())
}

// attemptWithRedirect sends the request to one daemon and, if that daemon names another one as
// leader, to the leader.
func (c *Client) attemptWithRedirect(ctx context.Context, address, method, path string, body []byte) (*reply, error) {
	resp, err := c.attempt(ctx, address, method, path, body)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusMisdirectedRequest {
		if leader := decodeError(resp).Leader; leader != "" && leader != address {
			resp, err = c.attempt(ctx, leader, method, path, body)
			if err != nil {
				return nil, err
			}
		}
	}
	if resp.status == http.StatusMisdirectedRequest || resp.status >= http.StatusInternalServerError {
		return nil, newRejectedError(resp)
	}
	return resp, nil
}

func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Annotate(err, "read response")
	}
	return &reply{status: response.StatusCode, header: response.Header, body: data}, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// defaultClient limits and checks the heads of responses. Like http.DefaultClient, it keeps connections open
// between calls.
var defaultClient = &http.Client{Transport: responsehead.NewTransport(&http.Transport{MaxResponseHeaderBytes: headlimit.MaxBytes})}

func decodeError(resp *reply) control.ErrorDetail {
	report := control.ErrorReport{}
	if json.Unmarshal(resp.body, &report) != nil || report.Error.Reason == "" {
		return control.ErrorDetail{Reason: "unexpected_answer", Message: http.StatusText(resp.status)}
	}
	return report.Error
}

func newRejectedError(resp *reply) *RejectedError {
	detail := decodeError(resp)
	return &RejectedError{Status: resp.status, Reason: detail.Reason, Message: detail.Message}
}

// decode unmarshals the body of a successful response into out. Any other status is an error.
func decode(resp *reply, out any) error {
	if resp.status != http.StatusOK {
		return newRejectedError(resp)
	}
	return errors.Annotate(json.Unmarshal(resp.body, out), "decode response")
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
