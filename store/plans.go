package store

import (
	"slices"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// plans holds the routing plan in force, the history of accepted plans, and the
// evacuated failure domains.
type plans struct {
	revision         uint64
	compressedSource []byte // as the operator sent it
	compressedPlan   []byte
	encodedPlan      []byte
	evacuated        []string // sorted
	history          *environment
	recentStates     []*Version // oldest first
}

const (
	// maxRecentStates and maxRecentStateBytes limit the recent states that are kept
	// so that entry daemons that are a few revisions behind receive only a delta.
	maxRecentStates     = 16
	maxRecentStateBytes = 8 << 20
)

func newPlans() *plans { return &plans{history: newEnvironment()} }

// submit puts a plan in force if it is based on the one in force. A resend of an
// accepted number and digest gets the same result as the first submission.
func (p *plans) submit(request *apipb.SubmitPlan, index uint64, nowMS int64) *apipb.SubmitResult {
	digest := request.Digest
	if first := p.history.byDigest[digest]; first != nil && first.Number == request.Number {
		return acceptedResult(first, true, p.history.latestEntry())
	}
	current := p.history.latestEntry()
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
	p.history.appendHistory(entry)
	p.compressedSource, p.compressedPlan, p.encodedPlan = request.Source, request.Plan, raw
	p.publish(index)
	return acceptedResult(entry, false, entry)
}

// setEvacuation starts or ends the evacuation of a failure domain.
func (p *plans) setEvacuation(request *apipb.SetEvacuation, index uint64) *apipb.EvacuationResult {
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

// publish adds a new state for entry daemons. It publishes nothing before the
// first plan, because evacuations have no effect without one.
func (p *plans) publish(index uint64) {
	p.revision = index
	if p.encodedPlan == nil {
		return
	}
	raw := plan.EncodeState(p.encodedPlan, p.evacuated)
	p.recentStates = append(p.recentStates, &Version{Revision: index, Number: p.history.latestEntry().Number, Digest: document.Digest(raw), Raw: raw})
	total := 0
	for _, v := range p.recentStates {
		total += len(v.Raw)
	}
	for len(p.recentStates) > 1 && (len(p.recentStates) > maxRecentStates || total > maxRecentStateBytes) {
		total -= len(p.recentStates[0].Raw)
		p.recentStates = p.recentStates[1:]
	}
}

// inForce returns the newest state, or nil before the first plan.
func (p *plans) inForce() *Version {
	if len(p.recentStates) == 0 {
		return nil
	}
	return p.recentStates[len(p.recentStates)-1]
}

// byRevision returns a recent state by its revision, or nil if it is no longer kept.
func (p *plans) byRevision(revision uint64) *Version {
	for _, v := range p.recentStates {
		if v.Revision == revision {
			return v
		}
	}
	return nil
}

func (p *plans) snapshot() *apipb.PlanSnapshot {
	return &apipb.PlanSnapshot{
		Revision: p.revision, Number: p.history.latestEntry().Number, Source: p.compressedSource, Plan: p.compressedPlan,
		Evacuated: p.evacuated, History: p.history.history,
	}
}

func (p *plans) restore(message *apipb.PlanSnapshot) error {
	for _, entry := range message.GetHistory() {
		p.history.appendHistory(entry)
	}
	p.compressedSource, p.compressedPlan, p.evacuated = message.GetSource(), message.GetPlan(), message.GetEvacuated()
	if p.compressedPlan != nil {
		raw, err := plan.Decompress(p.compressedPlan)
		if err != nil {
			return errors.Annotate(ErrCorruptSnapshot, err.Error())
		}
		p.encodedPlan = raw
	}
	if revision := message.GetRevision(); revision > 0 {
		p.publish(revision)
	}
	return nil
}

// PlanSource returns the compressed source of the newest plan as the operator
// sent it, or nil before the first plan.
func (s *Store) PlanSource() []byte { return s.plans.compressedSource }

// PlanRevisionAt returns the index of the entry with the newest plan up to an index, 0 if there was none or it
// is no longer known.
func (s *Store) PlanRevisionAt(index uint64) uint64 {
	history := s.plans.history.history
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].Revision <= index {
			return history[i].Revision
		}
	}
	return 0
}
