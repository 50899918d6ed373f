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
)

const (
	// attemptTimeout bounds one request to one control daemon.
	attemptTimeout = 12 * time.Second
	// maxAnswerBytes bounds an answer: the status of thousands of VMs.
	maxAnswerBytes = 64 << 20
	// maxRounds is how often the list of control daemons is gone through.
	maxRounds = 3
	// roundPause leaves time for an election between two rounds.
	roundPause = time.Second
)

// Client calls the control daemons of one installation.
type Client struct {
	// Addresses are the HTTP addresses of control daemons.
	Addresses []string
	// Token is the operator's token.
	Token string
	// HTTP defaults to a client without redirects.
	HTTP *http.Client
}

// answer is what a control daemon sent.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request to the control daemons until one gives a final answer.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*answer, error) {
	var last error
	for round := range maxRounds {
		if round > 0 {
			if err := sleep(ctx, roundPause); err != nil {
				return nil, errors.Annotate(ErrUnreachable, err.Error())
			}
		}
		for _, address := range c.Addresses {
			got, err := c.follow(ctx, address, method, path, body)
			if err == nil {
				return got, nil
			}
			last = err
		}
	}
	if last == nil {
		last = errors.New("no address is configured")
	}
	var refused *RefusedError
	if errors.As(last, &refused) {
		return nil, refused
	}
	return nil, errors.Annotate(ErrUnreachable, last.Error())
}

// follow asks one daemon and, where it names one, the leader.
func (c *Client) follow(ctx context.Context, address, method, path string, body []byte) (*answer, error) {
	got, err := c.attempt(ctx, address, method, path, body)
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusMisdirectedRequest {
		if leader := errorOf(got).Leader; leader != "" && leader != address {
			got, err = c.attempt(ctx, leader, method, path, body)
			if err != nil {
				return nil, err
			}
		}
	}
	if got.status == http.StatusMisdirectedRequest || got.status >= http.StatusInternalServerError {
		return nil, refusedBy(got)
	}
	return got, nil
}

func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.client().Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, "read answer")
	}
	return &answer{status: response.StatusCode, header: response.Header, body: data}, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func errorOf(got *answer) control.ErrorDetail {
	report := control.ErrorReport{}
	if json.Unmarshal(got.body, &report) != nil || report.Error.Reason == "" {
		return control.ErrorDetail{Reason: "unexpected_answer", Message: http.StatusText(got.status)}
	}
	return report.Error
}

func refusedBy(got *answer) *RefusedError {
	detail := errorOf(got)
	return &RefusedError{Status: got.status, Reason: detail.Reason, Message: detail.Message}
}

// decode reads a successful answer into out; any other is an error.
func decode(got *answer, out any) error {
	if got.status != http.StatusOK {
		return refusedBy(got)
	}
	return errors.Annotate(json.Unmarshal(got.body, out), "decode answer")
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
