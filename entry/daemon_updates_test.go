package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
)

// Guards against permits for slots at upstreams that get no new requests: during a
// drain, requests with such a permit were rejected instead of waiting.
func TestNoPermitsForLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDrainedDaemon(t)
	is.Equal(*d.queue.service("records").upstreams.Load(), []string{"u2"}) // the document drains u1
	list := []inventory.Upstream{
		{ID: "u1", Service: "records", Region: "cali", FailureDomain: "cali-1"},
		{ID: "u2", Service: "records", Region: "cali", FailureDomain: "cali-2", State: inventory.Leaving},
		{ID: "u3", Service: "records", Region: "cali", FailureDomain: "cali-2"},
	}
	d.setUpstreams(inventory.List[inventory.Upstream]{Entries: list})
	is.Equal(*d.queue.service("records").upstreams.Load(), []string{"u3"})
	is.True(d.listed["u2"]) // its grants in use are kept
}

// Guards against a request that goes on after its key was revoked: it must end when a
// document without its customer comes into force.
func TestRevocationEndsARunningRequest(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	defer upstream.Close()
	defer close(release)
	clk := &clock.Manual{}
	clk.Advance(time.Second) // so that the incarnation is not 0
	d := newTestDaemon(t, clk, &fakeDialer{}, "a")
	defer d.pool.CloseIdle()
	applyDocument(t, d, exampleDocument(t, 1, "deadline_ms: 2000", "deadline_ms: 30000"), 1)
	d.setUpstreams(inventory.List[inventory.Upstream]{Entries: []inventory.Upstream{{
		ID: "u", Service: "records", Region: "bogota", FailureDomain: "bogota-1",
		Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
	}}})
	owner := grant.NewOwner(grant.OwnerConfig{Term: 1, Lease: time.Hour, NoPredecessor: true}, clk)
	units := apipb.ResourceKind_RESOURCE_KIND_UNITS
	owner.SetCaps([]grant.Cap{
		{Resource: grant.CustomerID("belen"), Rate: 1e9, Burst: 1e9},
		{Resource: grant.RegionID("bogota", "records"), Rate: 1e9, Burst: 1e9},
		{Resource: grant.SlotsID("u"), Kind: units, Units: 6},
		{Resource: grant.ConnsID("u"), Kind: units, Units: 6},
	})
	d.grants.region("bogota", "records")
	d.grants.slot("u")
	d.grants.conn("u")
	for range 2 {
		is.NoErr(d.holder.Accept(owner.Renew(d.holder.BuildRequest(), true)))
	}
	clk.Advance(time.Second) // new buckets start empty
	d.queue.refresh()

	ended := make(chan *httptest.ResponseRecorder, 1)
	r := httptest.NewRequest(http.MethodGet, "/records/1", nil)
	r.Header.Set("X-Api-Key", "demo-key-belen")
	go func() {
		w := httptest.NewRecorder()
		d.forwarder.ServeHTTP(w, r)
		ended <- w
	}()
	select {
	case <-arrived:
	case w := <-ended:
		t.Fatalf("rejected before it reached the upstream: %d %s", w.Code, w.Body)
	}
	applyDocument(t, d, exampleDocument(t, 2, "- name: belen", "- name: nazareth"), 2)
	w := <-ended
	is.Equal(w.Code, http.StatusUnauthorized)
	is.Equal(w.Header().Get("X-Request-Run"), "unknown")
}
