package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// lookupTimeout bounds a lookup at one VM, so that the caller goes on to the next
	// if a VM does not respond.
	lookupTimeout = time.Second
	// maxLookupBytes bounds the response body of a lookup.
	maxLookupBytes = 1 << 20
	// maxTTL bounds how long a lookup result is cached.
	maxTTL = time.Minute
)

// Directory caches the ranked entry VMs for one service. It is safe for
// concurrent use.
type Directory struct {
	service     string
	seeds       []netip.AddrPort
	clock       clock.Clock
	client      *http.Client
	lookupGroup singleflight.Group

	lookups, failures atomic.Int64

	mu        sync.Mutex
	ranked    []netip.AddrPort
	expiresAt clock.Instant
}

// lookupResponse is the body of a response to GET /v1/lookup.
type lookupResponse struct {
	TTLMS    int64 `json:"ttl_ms"`
	EntryVMs []struct {
		Address netip.AddrPort `json:"address"`
	} `json:"entry_vms"`
}

// NewDirectory returns a directory that does its first lookup at the seeds.
func NewDirectory(service string, seeds []netip.AddrPort, c clock.Clock, transport http.RoundTripper) *Directory {
	return &Directory{
		service: service, seeds: seeds, clock: c,
		client: &http.Client{Transport: transport, Timeout: lookupTimeout, CheckRedirect: doNotFollowRedirect},
	}
}

func doNotFollowRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// EntryVMs returns the ranked entry VMs, from the cache until its TTL has expired.
// If the lookup fails at all VMs, the expired result is returned.
func (d *Directory) EntryVMs(ctx context.Context) ([]netip.AddrPort, error) {
	if ranked, fresh := d.cached(); fresh {
		return ranked, nil
	}
	// Concurrent requests share the lookup, so cancellation of the request that
	// started it must not end it.
	shared := context.WithoutCancel(ctx)
	result := d.lookupGroup.DoChan("lookup", func() (any, error) { return nil, d.refreshOnce(shared) })
	var err error
	select {
	case <-ctx.Done():
		err = errors.WithType(ctx.Err(), ErrLookupFailed)
	case done := <-result:
		err = done.Err
	}
	ranked, _ := d.cached()
	if len(ranked) == 0 {
		return nil, errors.Trace(err)
	}
	return ranked, nil
}

// MarkFailed removes a VM from the cached result until the next lookup.
func (d *Directory) MarkFailed(vm netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranked = slices.DeleteFunc(slices.Clone(d.ranked), func(a netip.AddrPort) bool { return a == vm })
}

// cached returns the cached VMs and whether their TTL has not expired.
func (d *Directory) cached() (ranked []netip.AddrPort, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ranked, len(d.ranked) > 0 && d.clock.Now().Before(d.expiresAt)
}

// refreshOnce refreshes the cache unless a lookup by another goroutine has ended
// since this one found the cache expired.
func (d *Directory) refreshOnce(ctx context.Context) error {
	if _, fresh := d.cached(); fresh {
		return nil
	}
	return d.refresh(ctx)
}

// refresh does the lookup at the cached VMs and then at the seeds, until one succeeds.
func (d *Directory) refresh(ctx context.Context) error {
	known, _ := d.cached()
	candidates := slices.Clone(known)
	for _, seed := range d.seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	var last error
	for _, vm := range candidates {
		sent := d.clock.Now()
		found, err := d.lookUp(ctx, vm)
		if err == nil {
			d.store(found, sent)
			return nil
		}
		d.failures.Add(1)
		last = err
	}
	return errors.WithType(errors.Trace(last), ErrLookupFailed)
}

// store caches a lookup result. Its TTL counts from when the lookup was sent.
func (d *Directory) store(found lookupResponse, sent clock.Instant) {
	ranked := make([]netip.AddrPort, len(found.EntryVMs))
	for i, vm := range found.EntryVMs {
		ranked[i] = vm.Address
	}
	ttl := min(time.Duration(found.TTLMS)*time.Millisecond, maxTTL)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranked, d.expiresAt = ranked, sent.Add(ttl)
}

// lookUp does one lookup at one VM.
func (d *Directory) lookUp(ctx context.Context, vm netip.AddrPort) (lookupResponse, error) {
	d.lookups.Add(1)
	var found lookupResponse
	target := "http://" + vm.String() + "/v1/lookup?service=" + url.QueryEscape(d.service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return found, errors.Trace(err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return found, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes))
	if err != nil {
		return found, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return found, errors.Errorf("entry VM %s: lookup returned status %d", vm, response.StatusCode)
	}
	if err := json.Unmarshal(data, &found); err != nil || len(found.EntryVMs) == 0 || found.TTLMS < 0 {
		return found, errors.Errorf("entry VM %s: invalid lookup response", vm)
	}
	return found, nil
}
