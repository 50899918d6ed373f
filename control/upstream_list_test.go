package control

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

// Guards against an entry of another writer that takes the place of an upstream in the list that all entry
// VMs get: it has the id of the upstream and a service that the plan does not name.
func TestListKeepsUpstreamsOfThePlan(t *testing.T) {
	is := is.New(t)
	o := newOwnership(&Config{Clock: &clock.Manual{}, Log: discardLog()})
	term := o.newTermState(1, nil)
	raw, err := plan.Encode(&plan.Plan{Number: 1, Services: []plan.Service{{Name: "s"}}})
	is.NoErr(err)
	o.refreshCaps(term, apipb.Environment_ENVIRONMENT_PLAN, &store.Version{Revision: 1, Raw: plan.EncodeState(raw, nil)})
	sound := inventory.Upstream{ID: "i-1", Service: "s", Slots: 9}
	o.updateList(term, []inventory.Upstream{sound, {ID: "i-1", Service: "unknown"}}, o.cfg.Clock.Now())
	changed, _, _, ok := term.list.Changes(0)
	is.True(ok)
	is.Equal(changed, []inventory.Upstream{sound})
}
