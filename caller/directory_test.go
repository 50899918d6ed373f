package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/caller"
	"pistachiomount.example/pistachiomount/clock"
)

// lookupRounds is how often the test tries to trigger the race.
const lookupRounds = 2000

// roundTripper is a function that serves as http.RoundTripper without a network.
type roundTripper func(*http.Request) (*http.Response, error)

func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// Guards against a second lookup by a goroutine that found the cache empty just
// before the first lookup filled it.
func TestCallersShareOneLookup(t *testing.T) {
	is := is.New(t)
	vm := netip.MustParseAddrPort("127.0.0.1:1")
	for range lookupRounds {
		var lookups atomic.Int64
		transport := roundTripper(func(*http.Request) (*http.Response, error) {
			lookups.Add(1)
			body := io.NopCloser(strings.NewReader(`{"ttl_ms":5000,"entry_vms":[{"address":"127.0.0.1:1"}]}`))
			return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
		})
		directory := caller.NewDirectory("records", []netip.AddrPort{vm}, &clock.Manual{}, transport)
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				if _, err := directory.EntryVMs(context.Background()); err != nil {
					t.Error(err)
				}
			})
		}
		callers.Wait()
		is.Equal(lookups.Load(), int64(1))
	}
}
