package inventory

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/responsehead"
	"pistachiomount.example/pistachiomount/settings"
)

const (
	// DefaultTimeout bounds one request for a list.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxBytes bounds the size of a list; an entry takes about 150 bytes,
	// so about 100,000 entries fit.
	DefaultMaxBytes = 16 << 20
)

// ClientConfig holds what a Client needs. Clock and Logger are required.
type ClientConfig struct {
	Address settings.Address
	Clock   clock.Clock
	Logger  logrus.FieldLogger
	// Timeout and MaxBytes default to DefaultTimeout and DefaultMaxBytes.
	Timeout  time.Duration
	MaxBytes int64
}

// Client fetches the lists and caches the last valid ones. It is safe for
// concurrent use.
type Client struct {
	config    ClientConfig
	transport *responsehead.Transport

	mu        sync.Mutex
	vms       List[VM]
	upstreams List[Upstream]
}

// NewClient returns a client for the platform at the configured address.
func NewClient(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = DefaultMaxBytes
	}
	return &Client{config: config, transport: newTransport()}
}

// FetchVMs requests the list of VMs. On an error it also returns the last valid
// list, whose age is the time since the last successful request.
func (c *Client) FetchVMs(ctx context.Context) (List[VM], error) {
	return fetchList(ctx, c, "/v1/vms", &c.vms)
}

// FetchUpstreams requests the list of upstreams; see FetchVMs.
func (c *Client) FetchUpstreams(ctx context.Context) (List[Upstream], error) {
	return fetchList(ctx, c, "/v1/upstreams", &c.upstreams)
}

// VMs returns the last valid list of VMs.
func (c *Client) VMs() List[VM] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// Upstreams returns the last valid list of upstreams.
func (c *Client) Upstreams() List[Upstream] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func fetchList[T entry](ctx context.Context, c *Client, path string, last *List[T]) (List[T], error) {
	sent := c.config.Clock.Now()
	entries, err := requestList[T](ctx, c, path)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return *last, errors.Annotatef(err, "platform list %s", path)
	}
	// Responses may arrive out of order; the response to an earlier request is dropped.
	if !last.Fetched || last.FetchedAt.Mono <= sent.Mono {
		*last = List[T]{Entries: entries, FetchedAt: sent, Fetched: true}
	}
	return *last, nil
}

func requestList[T entry](ctx context.Context, c *Client, path string) ([]T, error) {
	url := "http://" + c.config.Address.String() + path
	got, err := fetch(ctx, c.transport, url, c.config.Timeout, c.config.MaxBytes)
	if errors.Is(err, ErrTooLarge) {
		return nil, errors.Trace(err)
	}
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrUnavailable)
	}
	if got.status != http.StatusOK {
		return nil, errors.WithType(errors.Errorf("status %d", got.status), ErrUnavailable)
	}
	return decodeList[T](got.body, c.config.Logger)
}
