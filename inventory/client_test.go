package inventory_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validVM = `{"name":"vm-1","address":"127.0.0.1:8080","region":"bogota","failure_domain":"a","state":"live"}`

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// serve starts a server that returns the current text, or status 500 if it is empty.
func serve(t *testing.T, text *atomic.Value) settings.Address {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := text.Load().(string)
		if body == "" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		if strings.HasSuffix(r.URL.Path, "/upstreams") {
			body = "[]"
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return settings.Address{AddrPort: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func newClient(t *testing.T, text *atomic.Value, c clock.Clock) *inventory.Client {
	t.Helper()
	client := inventory.NewClient(inventory.ClientConfig{
		Address: serve(t, text), Clock: c, Logger: discardLogger(), MaxBytes: 2000,
	})
	t.Cleanup(client.Close)
	return client
}

// Guards against one invalid entry that discards the whole list.
func TestInvalidEntriesAreDropped(t *testing.T) {
	is := is.New(t)
	bad := []string{
		`{"name":"","address":"127.0.0.1:1","region":"bogota","failure_domain":"a","state":"live"}`,
		`{"name":"a/b","address":"127.0.0.1:1","region":"bogota","failure_domain":"a","state":"live"}`,
		`{"name":"x","address":"localhost:1","region":"bogota","failure_domain":"a","state":"live"}`,
		`{"name":"x","address":"127.0.0.1:0","region":"bogota","failure_domain":"a","state":"live"}`,
		`{"name":"x","address":"127.0.0.1:1","region":"Bogotá","failure_domain":"a","state":"live"}`,
		`{"name":"x","address":"127.0.0.1:1","region":"bogota","failure_domain":"a","state":"gone"}`,
		`7`, validVM,
	}
	var text atomic.Value
	text.Store("[" + validVM + "," + strings.Join(bad, ",") + "]")
	list, err := newClient(t, &text, &clock.Manual{}).FetchVMs(context.Background())
	is.NoErr(err)
	is.Equal(len(list.Entries), 1)
	is.Equal(list.Entries[0].Name, "vm-1")
}

// Guards against a platform failure that clears the list or resets its age.
func TestLastGoodListIsKept(t *testing.T) {
	is := is.New(t)
	var text atomic.Value
	text.Store("[" + validVM + "]")
	c := &clock.Manual{}
	client := newClient(t, &text, c)
	_, err := client.FetchVMs(context.Background())
	is.NoErr(err)
	c.Advance(7 * time.Second)
	failures := map[string]error{
		"":                               inventory.ErrUnavailable,
		"{}":                             inventory.ErrMalformed,
		"[7]":                            inventory.ErrMalformed,
		strings.Repeat(" ", 2000) + "[]": inventory.ErrTooLarge,
	}
	for body, want := range failures {
		text.Store(body)
		list, err := client.FetchVMs(context.Background())
		is.True(errors.Is(err, want))
		is.Equal(len(list.Entries), 1)
		is.Equal(list.Age(c.Now()), 7*time.Second)
	}
	is.Equal(client.VMs().Age(c.Now()), 7*time.Second)
}

func TestPollerReportsOnlyChanges(t *testing.T) {
	is := is.New(t)
	var text atomic.Value
	text.Store("[" + validVM + "]")
	var lists []inventory.List[inventory.VM]
	poller := inventory.NewPoller(inventory.PollerConfig{
		Client: newClient(t, &text, &clock.Manual{}), Period: time.Hour, Logger: discardLogger(),
		OnVMs: func(l inventory.List[inventory.VM]) { lists = append(lists, l) },
	})
	poller.Poll(context.Background())
	poller.Poll(context.Background())
	is.Equal(len(lists), 1)
	text.Store("[" + strings.ReplaceAll(validVM, "live", "leaving") + "]")
	poller.Poll(context.Background())
	is.Equal(len(lists), 2)
	is.Equal(lists[1].Entries[0].State, inventory.Leaving)
	text.Store("")
	poller.Poll(context.Background())
	is.Equal(len(lists), 2)
}
