package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// plans holds the routing plan in force, the numbers accepted before it, and
// the evacuated failure domains.
type plans struct {
	revision  uint64
	source    []byte
	plan      []byte
	evacuated []string // sorted
	history   *environment
	recent    *Version
}

func newPlans() *plans { return &plans{history: newEnvironment()} }

// submit puts a plan in force if it builds on the one in force. The first answer
// to a number and its bytes is given again to every resend.
func (p *plans) submit(request *apipb.SubmitPlan, index uint64, nowMS int64) *apipb.SubmitResult {
	digest := document.Digest(request.Source)
	if first := p.history.digests[digest]; first != nil && first.Number == request.Number {
		return accepted(first, true, p.history.last())
	}
	current := p.history.last()
	if request.Base != current.Number || request.Number <= current.Number {
		return &apipb.SubmitResult{
			Status: apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT, Number: request.Number, Digest: digest,
			NumberInForce: current.Number, DigestInForce: current.Digest,
			Message: "another version is in force",
		}
	}
	entry := &apipb.HistoryEntry{
		Environment: apipb.Environment_ENVIRONMENT_PLAN,
		Number:      request.Number, Digest: digest, Revision: index, TimeMs: nowMS,
	}
	p.history.record(entry)
	p.source, p.plan = request.Source, request.Plan
	p.publish(index)
	return accepted(entry, false, entry)
}

// evacuate starts or ends the evacuation of a failure domain.
func (p *plans) evacuate(request *apipb.SetEvacuation, index uint64) *apipb.EvacuationResult {
	at, found := slices.BinarySearch(p.evacuated, request.FailureDomain)
	if found == request.Evacuated {
		return &apipb.EvacuationResult{}
	}
	if request.Evacuated {
		p.evacuated = slices.Insert(slices.Clone(p.evacuated), at, request.FailureDomain)
	} else {
		p.evacuated = slices.Delete(slices.Clone(p.evacuated), at, at+1)
	}
	p.publish(index)
	return &apipb.EvacuationResult{Changed: true}
}

// publish makes a new version for entry daemons. Without a plan there is nothing
// that they could do, so nothing is published.
func (p *plans) publish(index uint64) {
	p.revision = index
	if p.plan == nil {
		return
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(
		&apipb.RoutingState{Plan: p.plan, Evacuated: p.evacuated})
	if err != nil {
		panic("encoding a routing state: " + err.Error()) // only for strings that are no UTF-8, which no command carries
	}
	p.recent = &Version{Revision: index, Number: p.history.last().Number, Digest: document.Digest(raw), Raw: raw}
}

func (p *plans) snapshot() *apipb.PlanSnapshot {
	return &apipb.PlanSnapshot{
		Revision: p.revision, Number: p.history.last().Number, Source: p.source, Plan: p.plan,
		Evacuated: p.evacuated, History: p.history.history,
	}
}

func (p *plans) restore(message *apipb.PlanSnapshot) {
	for _, entry := range message.GetHistory() {
		p.history.record(entry)
	}
	p.source, p.plan, p.evacuated = message.GetSource(), message.GetPlan(), message.GetEvacuated()
	if revision := message.GetRevision(); revision > 0 {
		p.publish(revision)
	}
}

// PlanSource returns the newest plan as the operator sent it, or nil.
func (s *Store) PlanSource() []byte { return s.plans.source }
