package store

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
)

// jobs holds the queue of deferred jobs, the started jobs, and the results kept
// for retrieval.
type jobs struct {
	byID  map[string]*apipb.Job
	byKey map[requestKey]*apipb.Job
	// byAttempt maps an attempt to the job that it started, so that a delayed
	// duplicate of a start request does not start a second job.
	byAttempt map[uint64]*apipb.Job
	queue     []*apipb.Job // oldest first
	started   []*apipb.Job
	done      []*apipb.Job // in the order in which they finished
	bodyBytes int
}

func newJobs() *jobs {
	return &jobs{
		byID:      map[string]*apipb.Job{},
		byKey:     map[requestKey]*apipb.Job{},
		byAttempt: map[uint64]*apipb.Job{},
	}
}

func jobKey(j *apipb.Job) requestKey {
	return requestKey{j.Customer, j.Route, j.IdempotencyKey}
}

func (q *jobs) enqueue(request *apipb.EnqueueRequest, nowMS int64) *apipb.EnqueueReply {
	job := request.Job
	if job == nil || job.Id == "" {
		return &apipb.EnqueueReply{Mismatch: true}
	}
	if found := q.find(job); found != nil {
		if !bytes.Equal(found.BodyDigest, job.BodyDigest) || found.Customer != job.Customer {
			return &apipb.EnqueueReply{Mismatch: true}
		}
		return &apipb.EnqueueReply{JobId: found.Id, Repeated: true}
	}
	if len(q.byID) >= MaxJobs || q.bodyBytes+len(job.Body) > MaxJobBytes {
		return &apipb.EnqueueReply{Full: true}
	}
	job = proto.CloneOf(job)
	job.State = apipb.JobState_JOB_STATE_QUEUED
	job.AcceptedMs = nowMS
	q.add(job)
	return &apipb.EnqueueReply{JobId: job.Id}
}

func (q *jobs) find(job *apipb.Job) *apipb.Job {
	if found := q.byID[job.Id]; found != nil {
		return found
	}
	if job.IdempotencyKey == "" {
		return nil
	}
	return q.byKey[jobKey(job)]
}

func (q *jobs) add(job *apipb.Job) {
	q.byID[job.Id] = job
	if job.IdempotencyKey != "" {
		q.byKey[jobKey(job)] = job
	}
	if job.AttemptId != 0 {
		q.byAttempt[job.AttemptId] = job
	}
	q.bodyBytes += len(job.Body)
	switch job.State {
	case apipb.JobState_JOB_STATE_QUEUED:
		q.queue = append(q.queue, job)
	case apipb.JobState_JOB_STATE_STARTED:
		q.started = append(q.started, job)
	default:
		q.done = append(q.done, job)
	}
}

// start assigns the oldest matching job to an attempt. A repeated request of the
// same attempt returns the same job, because the first reply may have been lost.
func (q *jobs) start(request *apipb.StartJobRequest, nowMS int64) *apipb.StartJobReply {
	if job := q.byAttempt[request.AttemptId]; job != nil {
		if job.State != apipb.JobState_JOB_STATE_STARTED {
			return &apipb.StartJobReply{}
		}
		return &apipb.StartJobReply{Job: proto.CloneOf(job)}
	}
	for i, job := range q.queue {
		if !matchesRequest(request, job) {
			continue
		}
		q.queue = slices.Delete(q.queue, i, i+1)
		job.State = apipb.JobState_JOB_STATE_STARTED
		job.AttemptId = request.AttemptId
		job.Holder = request.Holder
		job.StartedMs = nowMS
		q.started = append(q.started, job)
		q.byAttempt[job.AttemptId] = job
		return &apipb.StartJobReply{Job: proto.CloneOf(job)}
	}
	return &apipb.StartJobReply{}
}

func matchesRequest(request *apipb.StartJobRequest, job *apipb.Job) bool {
	if job.Environment != request.Environment || (request.JobId != "" && job.Id != request.JobId) {
		return false
	}
	return len(request.Services) == 0 || slices.Contains(request.Services, job.Service)
}

// finish records the end of an attempt. An outcome that arrives after the holder
// was considered lost is still recorded, unless another attempt has the job.
func (q *jobs) finish(request *apipb.FinishJobRequest, nowMS int64) *apipb.FinishJobReply {
	job := q.byID[request.JobId]
	if job == nil || job.AttemptId != request.AttemptId {
		return &apipb.FinishJobReply{}
	}
	if job.State == apipb.JobState_JOB_STATE_DONE {
		return &apipb.FinishJobReply{Recorded: true}
	}
	if request.Requeue {
		return &apipb.FinishJobReply{Recorded: q.requeue(job)}
	}
	if request.Outcome == nil {
		return &apipb.FinishJobReply{}
	}
	q.removeFromLists(job)
	job.State = apipb.JobState_JOB_STATE_DONE
	job.Outcome = request.Outcome
	if len(job.Outcome.Body) > MaxOutcomeBytes {
		job.Outcome.Body, job.Outcome.BodyOmitted = nil, true
	}
	q.moveToDone(job, nowMS)
	return &apipb.FinishJobReply{Recorded: true}
}

// requeue returns a started job to the queue, at the position given by the time
// at which it was accepted.
func (q *jobs) requeue(job *apipb.Job) bool {
	if job.State != apipb.JobState_JOB_STATE_STARTED {
		return false
	}
	q.removeFromLists(job)
	job.State = apipb.JobState_JOB_STATE_QUEUED
	delete(q.byAttempt, job.AttemptId)
	job.AttemptId, job.Holder, job.StartedMs = 0, "", 0
	at, _ := slices.BinarySearchFunc(q.queue, job, func(a, b *apipb.Job) int {
		if a.AcceptedMs <= b.AcceptedMs {
			return -1
		}
		return 1
	})
	q.queue = slices.Insert(q.queue, at, job)
	return true
}

// moveToDone adds a job to the finished jobs and frees its request body, which no
// attempt needs any more.
func (q *jobs) moveToDone(job *apipb.Job, nowMS int64) {
	q.bodyBytes -= len(job.Body)
	job.Body = nil
	job.FinishedMs = nowMS
	q.done = append(q.done, job)
}

func (q *jobs) removeFromLists(job *apipb.Job) {
	same := func(other *apipb.Job) bool { return other == job }
	q.queue = slices.DeleteFunc(q.queue, same)
	q.started = slices.DeleteFunc(q.started, same)
	q.done = slices.DeleteFunc(q.done, same)
}

// expire ends attempts whose holder is lost and removes results whose retention
// has ended.
func (q *jobs) expire(nowMS int64) {
	for _, job := range slices.Clone(q.started) {
		if job.StartedMs+int64(job.DeadlineMs)+JobGracePeriod.Milliseconds() > nowMS {
			continue
		}
		q.handleLostHolder(job, nowMS)
	}
	for len(q.done) > 0 && q.done[0].FinishedMs+JobRetention.Milliseconds() <= nowMS {
		q.remove(q.done[0])
	}
}

// handleLostHolder requeues an idempotent job. Any other job may have run, so it
// ends with an unknown outcome and is never started again.
func (q *jobs) handleLostHolder(job *apipb.Job, nowMS int64) {
	if job.Idempotent {
		q.requeue(job)
		return
	}
	q.removeFromLists(job)
	job.State = apipb.JobState_JOB_STATE_UNKNOWN
	q.moveToDone(job, nowMS)
}

func (q *jobs) remove(job *apipb.Job) {
	q.removeFromLists(job)
	q.bodyBytes -= len(job.Body)
	delete(q.byID, job.Id)
	delete(q.byAttempt, job.AttemptId)
	if job.IdempotencyKey != "" && q.byKey[jobKey(job)] == job {
		delete(q.byKey, jobKey(job))
	}
}

func (q *jobs) queued(env apipb.Environment) int {
	return countInEnvironment(q.queue, env)
}

func (q *jobs) hasUnfinished(env apipb.Environment) bool {
	inEnvironment := func(job *apipb.Job) bool { return job.Environment == env }
	return slices.ContainsFunc(q.queue, inEnvironment) || slices.ContainsFunc(q.started, inEnvironment)
}

func countInEnvironment(jobs []*apipb.Job, env apipb.Environment) int {
	total := 0
	for _, job := range jobs {
		if job.Environment == env {
			total++
		}
	}
	return total
}
