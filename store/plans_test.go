package store_test

import (
	"testing"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/plan"
	"pistachiomount.example/pistachiomount/store"
)

const planEnv = apipb.Environment_ENVIRONMENT_PLAN

func (h *harness) plan(base, number uint64, source string) *apipb.SubmitResult {
	h.t.Helper()
	encoded, err := plan.Encode(&plan.Plan{Number: number, Base: base})
	if err != nil {
		h.t.Fatal(err)
	}
	packed, err := plan.Compress(encoded)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.apply(&apipb.Command{Body: &apipb.Command_SubmitPlan{SubmitPlan: &apipb.SubmitPlan{
		Base: base, Number: number, Source: []byte(source), Plan: packed, Digest: "digest of " + source,
	}}}).Submit
}

func (h *harness) evacuate(domain string, on bool) *apipb.EvacuationResult {
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

// Guards against two changes on one version that are both accepted, and against a
// resend that is refused after a later change.
func TestOnePlanWinsEachBase(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.plan(0, 3, "a").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(h.plan(3, 7, "b").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.Equal(h.plan(3, 7, "c").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT) // the same number for another change
	is.Equal(h.plan(3, 8, "d").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(h.plan(7, 6, "e").Status, apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT)
	is.Equal(h.plan(7, 9, "f").Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	again := h.plan(3, 7, "b")
	is.Equal(again.Status, apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED)
	is.True(again.Repeated)
	is.Equal(string(h.store.PlanSource()), "f") // a resend changes nothing
}

// Guards against evacuations and plans that are lost by a snapshot, and against
// revisions that do not rise.
func TestPlanStateSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.evacuate("z1", true)
	is.Equal(h.store.InForce(planEnv), nil) // no plan yet
	h.plan(0, 3, "a")
	is.Equal(h.evacuated(), []string{"z1"})
	before := h.store.InForce(planEnv).Revision
	is.True(h.evacuate("z2", true).Changed)
	is.True(!h.evacuate("z2", true).Changed) // a resend
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
	is.True(h.plan(0, 3, "a").Repeated)
	is.True(h.evacuate("z1", false).Changed)
	is.Equal(h.evacuated(), []string{"z2"})
}

// Guards against the removal of an earlier process that takes a later one with it.
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
