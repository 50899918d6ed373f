package inventory_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

func upstreamWith(t *testing.T, handler http.HandlerFunc) inventory.Upstream {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return inventory.Upstream{ID: t.Name(), Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func probe(t *testing.T, handler http.HandlerFunc) inventory.LoadReport {
	t.Helper()
	var report inventory.LoadReport
	p := inventory.NewLoadProbe(inventory.LoadProbeConfig{
		Clock: &clock.Manual{}, OnReport: func(r inventory.LoadReport) { report = r },
	})
	defer p.Close()
	p.Probe(context.Background(), []inventory.Upstream{upstreamWith(t, handler)})
	return report
}

func TestProbeReadsHealthAndLoad(t *testing.T) {
	is := is.New(t)
	report := probe(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"in_flight":2,"slots":5}`)
		}
	})
	is.NoErr(report.Err)
	is.True(report.Healthy && report.HasLoad && !report.Leaving)
	is.Equal(report.Load, inventory.Load{InFlight: 2, Slots: 5})
}

// Guards against a draining upstream or an invalid load being accepted as healthy.
func TestProbeDrainingUpstreamAndInvalidLoad(t *testing.T) {
	is := is.New(t)
	report := probe(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	is.True(report.Leaving && !report.Healthy && !report.HasLoad && report.Err != nil)
	report = probe(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Draining", "true")
		_, _ = io.WriteString(w, `{"in_flight":-1,"slots":5}`)
	})
	is.True(report.Leaving && report.Healthy && !report.HasLoad && report.Err != nil)
}

// Guards against probes that exceed the bound on concurrent connections. Handlers
// wait until three run, so that the bound is also reached.
func TestProbeConcurrencyIsBounded(t *testing.T) {
	is := is.New(t)
	const bound, probes = 3, 39
	var running, highest atomic.Int64
	arrived, release := make(chan struct{}), make(chan struct{})
	upstream := upstreamWith(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			return
		}
		now := running.Add(1)
		defer running.Add(-1)
		for old := highest.Load(); now > old && !highest.CompareAndSwap(old, now); old = highest.Load() {
		}
		arrived <- struct{}{}
		<-release
	})
	go func() {
		for range probes / bound {
			for range bound {
				<-arrived
			}
			for range bound {
				release <- struct{}{}
			}
		}
	}()
	var reports atomic.Int64
	p := inventory.NewLoadProbe(inventory.LoadProbeConfig{
		Clock: &clock.Manual{}, Concurrency: bound, Timeout: time.Minute,
		OnReport: func(inventory.LoadReport) { reports.Add(1) },
	})
	defer p.Close()
	p.Probe(context.Background(), slices.Repeat([]inventory.Upstream{upstream}, probes))
	is.Equal(reports.Load(), int64(probes))
	is.Equal(highest.Load(), int64(bound))
}
