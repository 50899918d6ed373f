package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/grant"
	"pistachiomount.example/pistachiomount/inventory"
)

// requestedResources returns the resources containing part that the next renewal asks
// for, and the units that it reports in use over all resources.
func requestedResources(h *grant.Holder, part string) (names []string, used uint32) {
	h.BuildRequest()
	request := h.BuildRequest() // full, since it follows no accepted reply
	for _, name := range append(request.Layout.Rates, request.Layout.Units...) {
		if strings.Contains(name, part) {
			names = append(names, name)
		}
	}
	for _, n := range request.UsedUnits {
		used += n
	}
	return names, used
}

// Guards against units of a removed upstream being requested again: the end of a
// request in progress would register them anew.
func TestUnitsOfARemovedUpstream(t *testing.T) {
	is := is.New(t)
	clk := &clock.Manual{}
	g := newGrants(grant.NewHolder(grant.HolderConfig{VM: "vm", Incarnation: 1}, clk))
	owner := grant.NewOwner(grant.OwnerConfig{Term: 1, NoPredecessor: true}, clk)
	owner.SetCaps([]grant.Cap{
		{Resource: grant.SlotsID("u"), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 6},
		{Resource: grant.ConnsID("u"), Kind: apipb.ResourceKind_RESOURCE_KIND_UNITS, Units: 6},
	})
	slots, conns := slotGrants{g}, connGrants{g}
	slots.TryAcquire("u")
	conns.AcquireConn("u")
	is.NoErr(g.holder.Accept(owner.Renew(g.holder.BuildRequest(), true)))
	is.True(slots.TryAcquire("u"))
	is.True(conns.AcquireConn("u"))

	g.releaseUpstream("u")
	names, used := requestedResources(g.holder, "/u")
	is.Equal(len(names), 2) // in use
	is.Equal(used, uint32(2))
	slots.Release("u")
	conns.ReleaseConn("u")
	names, _ = requestedResources(g.holder, "/u")
	is.Equal(len(names), 0)
	is.Equal(len(g.slots.removed.keys())+len(g.conns.removed.keys()), 0)
	is.True(!slots.TryAcquire("u")) // registered again, without a grant yet
	names, _ = requestedResources(g.holder, "slots/u")
	is.Equal(len(names), 1)
}

// Guards against grants kept for removed customers, services and upstreams, also when
// a request in progress asks for one again.
func TestGrantsOfRemovedResourcesAreReleased(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &clock.Manual{}, &fakeDialer{}, "a")
	apply := func(revision uint64, changes ...string) {
		v, err := d.syncer.buildView(exampleDocument(t, int(revision), changes...), d.syncer.load(), &apipb.WatchReply{Revision: revision})
		is.NoErr(err)
		d.syncer.current.Store(v)
		d.applyView(v)
	}
	list := func(ids ...string) {
		var entries []inventory.Upstream
		for _, id := range ids {
			entries = append(entries, inventory.Upstream{ID: id, Service: "records", Region: "cali", FailureDomain: "cali-1"})
		}
		d.setUpstreams(inventory.List[inventory.Upstream]{Entries: entries})
	}
	held := func(part string) int {
		names, _ := requestedResources(d.holder, part)
		return len(names)
	}
	apply(1)
	list("u1", "u2")
	is.Equal(held("customer/belen"), 1)
	is.Equal(held("slots/"), 2)
	is.Equal(held("conns/"), 2)
	is.Equal(held("/billing"), 3) // requested with the document, before the first request

	list("u2")
	is.Equal(held("slots/"), 1)
	is.Equal(held("conns/"), 1)
	apply(2, "- name: belen", "- name: nazareth")
	is.Equal(held("customer/belen"), 0)
	is.Equal(held("customer/nazareth"), 1)

	d.grants.customer("belen") // a request under the previous view
	d.grants.slot("u1")
	d.serveWhenReady()
	is.Equal(held("customer/belen"), 0)
	is.Equal(held("slots/"), 1)
}
