package control

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

var environmentNames = map[apipb.Environment]string{
	apipb.Environment_ENVIRONMENT_TRIAL:      "trial",
	apipb.Environment_ENVIRONMENT_PRODUCTION: "production",
}

// status reports the state of the group and the fleet. Only the leader answers, since
// only it receives the heartbeats of all entry VMs. Other daemons name the leader.
func (a *operatorAPI) status(w http.ResponseWriter, r *http.Request) {
	engine, err := a.daemon.currentEngine()
	if err != nil {
		writeEngineError(w, err)
		return
	}
	report, status, err := engine.statusReport(r.Context())
	if err != nil {
		writeEngineError(w, err)
		return
	}
	if status.Role != consensus.RoleLeader {
		writeNotLeader(w, report)
		return
	}
	for env, name := range environmentNames {
		e := report.Environments[name]
		e.VMs = vmReports(a.daemon.ownership.fleet(status.Term, env))
		report.Environments[name] = e
	}
	writeJSON(w, http.StatusOK, report)
}

func writeNotLeader(w http.ResponseWriter, report StatusReport) {
	detail := ErrorDetail{Reason: "not_leader", Message: "only the leader knows the whole fleet"}
	for _, m := range report.Members {
		if m.Leader {
			detail.Leader = m.HTTPAddress
		}
	}
	writeJSON(w, http.StatusMisdirectedRequest, ErrorReport{Error: detail})
}

func (e *Engine) statusReport(ctx context.Context) (StatusReport, consensus.Status, error) {
	report := StatusReport{
		ClusterID:    strconv.FormatUint(e.cfg.ClusterID, 16),
		Environments: map[string]EnvironmentReport{},
	}
	var status consensus.Status
	err := e.do(ctx, func() {
		status = e.node.Status()
		report.Term = status.Term
		report.Members = memberReports(status)
		if leader := e.member(status.Leader); leader != nil {
			report.Leader = leader.Name
		}
		for env, name := range environmentNames {
			report.Environments[name] = e.environmentReport(env)
		}
	})
	return report, status, errors.Trace(err)
}

func (e *Engine) environmentReport(env apipb.Environment) EnvironmentReport {
	report := EnvironmentReport{Queued: e.store.QueuedJobs(env)}
	if v := e.store.InForce(env); v != nil {
		report.Number, report.Digest, report.Revision = v.Number, v.Digest, v.Revision
	}
	return report
}

func memberReports(status consensus.Status) []MemberReport {
	reports := []MemberReport{}
	for _, m := range status.Members.GetMembers() {
		reports = append(reports, MemberReport{
			ID: strconv.FormatUint(m.Id, 16), Name: m.Name, RPCAddress: m.RpcAddress, HTTPAddress: m.HttpAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, Voter: m.Voter, Leader: m.Id == status.Leader,
		})
	}
	return reports
}

func vmReports(vms []*apipb.Vm) []VMReport {
	reports := []VMReport{}
	for _, vm := range vms {
		reports = append(reports, VMReport{
			Name: vm.Name, Incarnation: vm.Incarnation, Address: vm.Address, Region: vm.Region,
			FailureDomain: vm.FailureDomain,
			State:         strings.ToLower(strings.TrimPrefix(vm.State.String(), "VM_STATE_")),
			Revision:      vm.RevisionInForce, ViewAgeMS: vm.ViewAgeMs, Load: vm.Load,
		})
	}
	return reports
}

func (a *operatorAPI) members(w http.ResponseWriter, r *http.Request) {
	engine, err := a.daemon.currentEngine()
	if err != nil {
		writeEngineError(w, err)
		return
	}
	report, _, err := engine.statusReport(r.Context())
	if err != nil {
		writeEngineError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, report.Members)
}
