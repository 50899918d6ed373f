package store_test

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

const planEnv = apipb.Environment_ENVIRONMENT_PLAN

func (h *harness) submitPlan(base, number uint64, source string) *apipb.SubmitResult {
	h.t.Helper()
	return h.submitWhole(&plan.Plan{Number: number, Base: base}, source)
}

func (h *harness) submitWhole(p *plan.Plan, source string) *apipb.SubmitResult {
	h.t.Helper()
	encoded, err := plan.Encode(p)
	if err != nil {
		h.t.Fatal(err)
	}
	compressed, err := plan.Compress(encoded)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.apply(&apipb.Command{Body: &apipb.Command_SubmitPlan{SubmitPlan: &apipb.SubmitPlan{
		Base: p.Base, Number: p.Number, Source: []byte(source), Plan: compressed, Digest: "digest of " + source,
	}}}).Submit
}

func (h *harness) setEvacuation(domain string, on bool) *apipb.EvacuationResult {
	return h.apply(&apipb.Command{Body: &apipb.Command_SetEvacuation{
		SetEvacuation: &apipb.SetEvacuation{FailureDomain: domain, Evacuated: on},
	}}).Evacuation
}

func (h *harness) evacuated() []string {
	h.t.Helper()
	_, evacuated, err := plan.DecodeState(h.store.InForce(planEnv).Raw)
	if err != nil {
		h.t.Fatal(err)
	}
	return evacuated
}

// Guards against accepting two changes with the same base, and against rejecting a
// resend after a later change.
func TestOnePlanAcceptedPerBase(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.submitPlan(0, 3, "a").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(h.submitPlan(3, 7, "b").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(h.submitPlan(3, 7, "c").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT) // the same number for another change
	is.Equal(h.submitPlan(3, 8, "d").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(h.submitPlan(7, 6, "e").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(h.submitPlan(7, 9, "f").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	again := h.submitPlan(3, 7, "b")
	is.Equal(again.Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.True(again.Repeated)
	is.Equal(string(h.store.PlanSource()), "f") // a resend changes nothing
}

// Guards against losing evacuations, plans or holders in a snapshot, and against
// revisions that do not increase.
func TestPlanStateSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.setEvacuation("z1", true)
	is.Equal(h.store.InForce(planEnv), nil) // no plan yet
	h.submitPlan(0, 3, "a")
	is.Equal(h.evacuated(), []string{"z1"})
	before := h.store.InForce(planEnv).Revision
	is.True(h.setEvacuation("z2", true).Changed)
	is.True(!h.setEvacuation("z2", true).Changed) // a resend
	is.True(h.store.InForce(planEnv).Revision > before)
	h.apply(&apipb.Command{Body: &apipb.Command_SetHolder{SetHolder: &apipb.SetHolder{Vm: "v", Incarnation: 4, Holds: true}}})

	data, err := h.store.Snapshot()
	is.NoErr(err)
	restored := store.New()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.InForce(planEnv), h.store.InForce(planEnv))
	is.Equal(string(restored.PlanSource()), "a")
	is.Equal(restored.Holders(), map[string]uint64{"v": 4})
	h.store = restored
	is.True(h.submitPlan(0, 3, "a").Repeated)
	is.True(h.setEvacuation("z1", false).Changed)
	is.Equal(h.evacuated(), []string{"z2"})
}

// Guards against a plan without customers whose keys are no longer required after a restart, and against one that
// requires keys only then.
func TestRequirementOfKeysSurvivesASnapshot(t *testing.T) {
	for _, required := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(t)
		h.submitWhole(&plan.Plan{Number: 3, KeysRequired: required}, "a")
		data, err := h.store.Snapshot()
		is.NoErr(err)
		restored := store.New()
		is.NoErr(restored.Restore(data))
		p, _, err := plan.DecodeState(restored.InForce(planEnv).Raw)
		is.NoErr(err)
		is.Equal(plan.NewIndex(p).KeysRequired(), required)
	}
}

// Guards against removing the later process of a VM when an earlier one ends.
func TestHoldersFollowTheNewestProcess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	set := func(incarnation uint64, holds bool) {
		h.apply(&apipb.Command{Body: &apipb.Command_SetHolder{
			SetHolder: &apipb.SetHolder{Vm: "v", Incarnation: incarnation, Holds: holds},
		}})
	}
	set(5, true)
	set(4, true)
	is.Equal(h.store.Holders()["v"], uint64(5))
	set(4, false)
	is.Equal(h.store.Holders()["v"], uint64(5))
	set(5, false)
	is.Equal(len(h.store.Holders()), 0)
}
