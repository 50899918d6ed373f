package store

import (
	"slices"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// plans holds the routing plan in force, the numbers accepted before it, and
// the evacuated failure domains.
type plans struct {
	revision  uint64
	source    []byte // packed
	packed    []byte // the plan
	plan      []byte
	evacuated []string // sorted
	history   *environment
	recent    []*Version // oldest first
}

const (
	// maxRecentPlans and maxRecentPlanBytes bound the former states that are kept, so
	// that entry daemons which are a little behind get what has changed only.
	maxRecentPlans     = 16
	maxRecentPlanBytes = 8 << 20
)

func newPlans() *plans { return &plans{history: newEnvironment()} }

// submit puts a plan in force if it builds on the one in force. The first answer
// to a number and its bytes is given again to every resend.
func (p *plans) submit(request *apipb.SubmitPlan, index uint64, nowMS int64) *apipb.SubmitResult {
	digest := request.Digest
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
	raw, err := plan.Decompress(request.Plan)
	if err != nil {
		return &apipb.SubmitResult{Status: apipb.SubmitStatus_SUBMIT_STATUS_INVALID, Number: request.Number, Digest: digest, Message: err.Error()}
	}
	entry := &apipb.HistoryEntry{
		Environment: apipb.Environment_ENVIRONMENT_PLAN,
		Number:      request.Number, Digest: digest, Revision: index, TimeMs: nowMS,
	}
	p.history.record(entry)
	p.source, p.packed, p.plan = request.Source, request.Plan, raw
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
	raw := plan.EncodeState(p.plan, p.evacuated)
	p.recent = append(p.recent, &Version{Revision: index, Number: p.history.last().Number, Digest: document.Digest(raw), Raw: raw})
	total := 0
	for _, v := range p.recent {
		total += len(v.Raw)
	}
	for len(p.recent) > 1 && (len(p.recent) > maxRecentPlans || total > maxRecentPlanBytes) {
		total -= len(p.recent[0].Raw)
		p.recent = p.recent[1:]
	}
}

// inForce returns the newest state, or nil before the first plan.
func (p *plans) inForce() *Version {
	if len(p.recent) == 0 {
		return nil
	}
	return p.recent[len(p.recent)-1]
}

// former returns a recent state by its revision, or nil if it is no longer kept.
func (p *plans) former(revision uint64) *Version {
	for _, v := range p.recent {
		if v.Revision == revision {
			return v
		}
	}
	return nil
}

func (p *plans) snapshot() *apipb.PlanSnapshot {
	return &apipb.PlanSnapshot{
		Revision: p.revision, Number: p.history.last().Number, Source: p.source, Plan: p.packed,
		Evacuated: p.evacuated, History: p.history.history,
	}
}

func (p *plans) restore(message *apipb.PlanSnapshot) error {
	for _, entry := range message.GetHistory() {
		p.history.record(entry)
	}
	p.source, p.packed, p.evacuated = message.GetSource(), message.GetPlan(), message.GetEvacuated()
	if p.packed != nil {
		raw, err := plan.Decompress(p.packed)
		if err != nil {
			return errors.Annotate(ErrDamagedSnapshot, err.Error())
		}
		p.plan = raw
	}
	if revision := message.GetRevision(); revision > 0 {
		p.publish(revision)
	}
	return nil
}

// PlanSource returns the newest plan as the operator sent it, packed, or nil.
func (s *Store) PlanSource() []byte { return s.plans.source }
