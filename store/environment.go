package store

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// environment holds the document in force and the history of accepted documents.
type environment struct {
	raw            []byte
	history        []*apipb.HistoryEntry
	byNumber       map[uint64]*apipb.HistoryEntry
	byDigest       map[string]*apipb.HistoryEntry
	recentVersions []*Version
}

// Version is an accepted document or a published plan state.
type Version struct {
	Revision uint64
	Number   uint64
	Digest   string
	Raw      []byte
}

func newEnvironment() *environment {
	return &environment{byNumber: map[uint64]*apipb.HistoryEntry{}, byDigest: map[string]*apipb.HistoryEntry{}}
}

func (e *environment) latestEntry() *apipb.HistoryEntry {
	if len(e.history) == 0 {
		return &apipb.HistoryEntry{}
	}
	return e.history[len(e.history)-1]
}

// accept puts a document in force.
func (e *environment) accept(entry *apipb.HistoryEntry, raw []byte) {
	e.raw = raw
	e.appendHistory(entry)
	e.recentVersions = append(e.recentVersions, &Version{Revision: entry.Revision, Number: entry.Number, Digest: entry.Digest, Raw: raw})
	e.trimRecentVersions()
}

func (e *environment) appendHistory(entry *apipb.HistoryEntry) {
	e.history = append(e.history, entry)
	e.byNumber[entry.Number] = entry
	e.byDigest[entry.Digest] = entry
	for len(e.history) > MaxHistory {
		oldest := e.history[0]
		e.history = e.history[1:]
		delete(e.byNumber, oldest.Number)
		if e.byDigest[oldest.Digest] == oldest {
			delete(e.byDigest, oldest.Digest)
		}
	}
}

// trimRecentVersions drops the oldest versions beyond the limits on their number
// and total size. The newest version is always kept.
func (e *environment) trimRecentVersions() {
	total := 0
	for _, v := range e.recentVersions {
		total += len(v.Raw)
	}
	for len(e.recentVersions) > 1 && (len(e.recentVersions) > maxRecentVersions || total > maxRecentVersionBytes) {
		total -= len(e.recentVersions[0].Raw)
		e.recentVersions[0] = nil
		e.recentVersions = e.recentVersions[1:]
	}
}

// submit accepts or rejects a document. A resend of an accepted number and digest
// gets the same result as the first submission.
func (s *Store) submit(request *apipb.SubmitDocument, index uint64) *apipb.SubmitResult {
	env := s.environments[request.Environment]
	digest := document.Digest(request.Document)
	if env == nil {
		return rejectedResult(apipb.SubmitStatus_SUBMIT_STATUS_INVALID, request, digest, &apipb.HistoryEntry{}, "unknown environment")
	}
	if first := env.byNumber[request.Number]; first != nil && first.Digest == digest {
		return acceptedResult(first, true, env.latestEntry())
	}
	if status, message := s.validateSubmission(request, env, digest); status != apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED {
		return rejectedResult(status, request, digest, env.latestEntry(), message)
	}
	entry := &apipb.HistoryEntry{
		Environment: request.Environment,
		Number:      request.Number,
		Digest:      digest,
		Revision:    index,
		TimeMs:      s.nowMS,
		Operator:    request.Operator,
	}
	env.accept(entry, request.Document)
	return acceptedResult(entry, false, entry)
}

func (s *Store) validateSubmission(request *apipb.SubmitDocument, env *environment, digest string) (apipb.SubmitStatus, string) {
	current := env.latestEntry().Number
	if request.Environment == apipb.Environment_ENVIRONMENT_TRIAL {
		if request.Number != current+1 {
			return apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT, "the next number in trial is the one in force plus 1"
		}
		return apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED, ""
	}
	if request.Number <= current {
		return apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT, "a number at or above this one is in force"
	}
	if s.environments[apipb.Environment_ENVIRONMENT_TRIAL].byDigest[digest] == nil {
		return apipb.SubmitStatus_SUBMIT_STATUS_NOT_IN_TRIAL, "these bytes were not accepted in trial"
	}
	return apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED, ""
}

func acceptedResult(entry *apipb.HistoryEntry, repeated bool, current *apipb.HistoryEntry) *apipb.SubmitResult {
	return &apipb.SubmitResult{
		Status:        apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED,
		Number:        entry.Number,
		Digest:        entry.Digest,
		Revision:      entry.Revision,
		NumberInForce: current.Number,
		DigestInForce: current.Digest,
		Repeated:      repeated,
	}
}

func rejectedResult(status apipb.SubmitStatus, request *apipb.SubmitDocument, digest string, current *apipb.HistoryEntry, message string) *apipb.SubmitResult {
	return &apipb.SubmitResult{
		Status:        status,
		Number:        request.Number,
		Digest:        digest,
		NumberInForce: current.Number,
		DigestInForce: current.Digest,
		Message:       message,
	}
}

// InForce returns the document in force, or nil if there is none.
func (s *Store) InForce(env apipb.Environment) *Version {
	if env == apipb.Environment_ENVIRONMENT_PLAN {
		return s.plans.inForce()
	}
	e := s.environments[env]
	if e == nil || len(e.recentVersions) == 0 {
		return nil
	}
	return e.recentVersions[len(e.recentVersions)-1]
}

// ByRevision returns the recent version with the revision, or nil if it is no
// longer kept.
func (s *Store) ByRevision(env apipb.Environment, revision uint64) *Version {
	if env == apipb.Environment_ENVIRONMENT_PLAN {
		return s.plans.byRevision(revision)
	}
	if e := s.environments[env]; e != nil {
		for _, v := range e.recentVersions {
			if v.Revision == revision {
				return v
			}
		}
	}
	return nil
}

// ByNumber returns the recent document with the number, or nil if it is no longer
// kept.
func (s *Store) ByNumber(env apipb.Environment, number uint64) *Version {
	if e := s.environments[env]; e != nil {
		for _, v := range e.recentVersions {
			if v.Number == number {
				return v
			}
		}
	}
	return nil
}

// History returns up to limit accepted documents, newest first.
func (s *Store) History(env apipb.Environment, limit int) []*apipb.HistoryEntry {
	e := s.environments[env]
	if e == nil {
		return nil
	}
	entries := make([]*apipb.HistoryEntry, 0, min(limit, len(e.history)))
	for i := len(e.history) - 1; i >= 0 && len(entries) < limit; i-- {
		entries = append(entries, e.history[i])
	}
	return entries
}
