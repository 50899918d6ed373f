package plan_test

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// Guards against keys that are no longer required once the last customer was removed, on each way by which a plan
// reaches a VM, and against a plan without keys that requires some.
func TestKeysAreRequiredWithoutCustomers(t *testing.T) {
	for name, c := range map[string]struct {
		plan plan.Plan
		want bool
	}{
		"no keys":      {plan.Plan{Number: 2, Base: 1}, false},
		"no customer":  {plan.Plan{Number: 2, Base: 1, KeysRequired: true}, true},
		"one customer": {plan.Plan{Number: 2, Base: 1, KeysRequired: true, Customers: []plan.Customer{{Name: "c"}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, err := plan.Encode(&plan.Plan{Number: 1, KeysRequired: true, Customers: []plan.Customer{{Name: "c"}}})
			is.NoErr(err)
			encoded, err := plan.Encode(&c.plan)
			is.NoErr(err)
			oldState, newState := plan.EncodeState(before, nil), plan.EncodeState(encoded, nil)
			raw, err := document.ApplyDelta(oldState, document.Delta(oldState, newState), document.Digest(newState))
			is.NoErr(err)
			p, _, err := plan.DecodeState(raw)
			is.NoErr(err)
			is.Equal(plan.NewIndex(p).KeysRequired(), c.want)
			p, err = plan.DecodeWithoutRoutes(raw)
			is.NoErr(err)
			is.Equal(plan.NewIndex(p).KeysRequired(), c.want)
		})
	}
}

// Guards against an earlier release's plan that is open although it has customers, or closed although it has none.
func TestPlansOfEarlierReleasesRequireKeysWithCustomers(t *testing.T) {
	is := is.New(t)
	for state, want := range map[string]bool{
		"evacuated \nplan {\"number\":2,\"base\":1,\"limits\":{}}\n":                            false,
		"evacuated \nplan {\"number\":2,\"base\":1,\"limits\":{}}\ncustomer {\"name\":\"c\"}\n": true,
	} {
		p, _, err := plan.DecodeState([]byte(state))
		is.NoErr(err)
		is.Equal(plan.NewIndex(p).KeysRequired(), want)
	}
}
