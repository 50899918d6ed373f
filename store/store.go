package store

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// ErrCorruptCommand is returned when a committed entry cannot be decoded. No
// further entry may be applied, because later entries may depend on this one.
const ErrCorruptCommand = errors.ConstError("store: committed command cannot be decoded")

// Store is the replicated state.
type Store struct {
	clusterID    uint64
	nowMS        int64
	environments map[apipb.Environment]*environment
	claims       *claims
	jobs         *jobs
	plans        *plans
	holders      holders
}

// New returns an empty store.
func New() *Store {
	return &Store{
		environments: map[apipb.Environment]*environment{
			apipb.Environment_ENVIRONMENT_TRIAL:      newEnvironment(),
			apipb.Environment_ENVIRONMENT_PRODUCTION: newEnvironment(),
		},
		claims:  newClaims(),
		jobs:    newJobs(),
		plans:   newPlans(),
		holders: holders{},
	}
}

// Apply applies one committed log entry and returns the reply for its proposer.
func (s *Store) Apply(entry *apipb.LogEntry) (Result, error) {
	if entry.Type != apipb.EntryType_ENTRY_TYPE_COMMAND {
		return Result{}, nil
	}
	command := &apipb.Command{}
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		return Result{}, errors.Annotatef(ErrCorruptCommand, "entry %d", entry.Index)
	}
	s.advance(command.TimeMs)
	result := s.applyCommand(command, entry.Index)
	result.RequestID = command.RequestId
	return result, nil
}

func (s *Store) applyCommand(command *apipb.Command, index uint64) Result {
	switch body := command.Body.(type) {
	case *apipb.Command_SubmitDocument:
		return Result{Submit: s.submit(body.SubmitDocument, index)}
	case *apipb.Command_Claim:
		return Result{Claim: s.claims.claim(body.Claim, s.nowMS)}
	case *apipb.Command_Complete:
		return Result{Complete: s.claims.complete(body.Complete)}
	case *apipb.Command_Enqueue:
		return Result{Enqueue: s.jobs.enqueue(body.Enqueue, s.nowMS)}
	case *apipb.Command_StartJob:
		return Result{StartJob: s.jobs.start(body.StartJob, s.nowMS)}
	case *apipb.Command_FinishJob:
		return Result{FinishJob: s.jobs.finish(body.FinishJob, s.nowMS)}
	case *apipb.Command_SubmitPlan:
		return Result{Submit: s.plans.submit(body.SubmitPlan, index, s.nowMS)}
	case *apipb.Command_SetEvacuation:
		return Result{Evacuation: s.plans.setEvacuation(body.SetEvacuation, index)}
	case *apipb.Command_SetHolder:
		return Result{Holder: s.holders.set(body.SetHolder)}
	case *apipb.Command_SetCluster:
		s.clusterID = body.SetCluster.ClusterId
	}
	return Result{}
}

// advance moves the time of the state machine forward and expires claims and
// jobs. The time never goes back, so a new leader whose clock is behind cannot
// undo an expiry.
func (s *Store) advance(timeMS int64) {
	if timeMS <= s.nowMS {
		return
	}
	s.nowMS = timeMS
	s.claims.expire(timeMS)
	s.jobs.expire(timeMS)
}

// ClusterID returns the id of the cluster, or 0 before the cluster is initialised.
func (s *Store) ClusterID() uint64 { return s.clusterID }

// QueuedJobs returns the number of jobs of the environment that wait for a worker.
func (s *Store) QueuedJobs(env apipb.Environment) int { return s.jobs.queued(env) }

// HasUnfinishedJobs reports whether the environment has queued or started jobs.
func (s *Store) HasUnfinishedJobs(env apipb.Environment) bool { return s.jobs.hasUnfinished(env) }

// Job returns a copy of the job, or nil if it does not exist or belongs to
// another customer.
func (s *Store) Job(id, customer string) *apipb.Job {
	job := s.jobs.byID[id]
	if job == nil || job.Customer != customer {
		return nil
	}
	return proto.CloneOf(job)
}
