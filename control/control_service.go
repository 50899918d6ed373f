package control

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// controlService serves entry daemons.
type controlService struct {
	daemon *Daemon
}

func (s *controlService) run(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	return (&proposer{engine: engine, dialForwarding: s.daemon.dialForwarding}).propose(ctx, command)
}

// Watch answers a poll for the document in force.
func (s *controlService) Watch(ctx context.Context, request *apipb.WatchRequest) (*apipb.WatchReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	return engine.Watch(ctx, request)
}

// FetchChunk returns one chunk of a document.
func (s *controlService) FetchChunk(ctx context.Context, request *apipb.ChunkRequest) (*apipb.ChunkReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	return engine.FetchChunk(ctx, request)
}

// Renew renews the grants of an entry daemon, if this daemon leads.
func (s *controlService) Renew(ctx context.Context, request *apipb.RenewRequest) (*apipb.RenewReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	reply, err := s.daemon.ownership.renew(ctx, engine, request)
	s.daemon.metrics.recordRenewal(request.Environment, reply, err)
	return reply, err
}

// Claim records that a non-idempotent request is about to run.
func (s *controlService) Claim(ctx context.Context, request *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
	reply, err := s.run(ctx, &apipb.Command{Body: &apipb.Command_Claim{Claim: request}})
	if err != nil {
		return nil, err
	}
	return reply.Claim, nil
}

// Complete records the outcome of a claimed request.
func (s *controlService) Complete(ctx context.Context, request *apipb.CompleteRequest) (*apipb.CompleteReply, error) {
	reply, err := s.run(ctx, &apipb.Command{Body: &apipb.Command_Complete{Complete: request}})
	if err != nil {
		return nil, err
	}
	return reply.Complete, nil
}

// Enqueue accepts a deferred job.
func (s *controlService) Enqueue(ctx context.Context, request *apipb.EnqueueRequest) (*apipb.EnqueueReply, error) {
	reply, err := s.run(ctx, &apipb.Command{Body: &apipb.Command_Enqueue{Enqueue: request}})
	if err != nil {
		return nil, err
	}
	return reply.Enqueue, nil
}

// StartJob assigns a deferred job to a worker. An empty queue costs no log entry.
func (s *controlService) StartJob(ctx context.Context, request *apipb.StartJobRequest) (*apipb.StartJobReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	waiting := false
	if err := engine.do(ctx, func() { waiting = engine.store.HasUnfinishedJobs(request.Environment) }); err != nil {
		return nil, err
	}
	if !waiting {
		return &apipb.StartJobReply{}, nil
	}
	reply, err := s.run(ctx, &apipb.Command{Body: &apipb.Command_StartJob{StartJob: request}})
	if err != nil {
		return nil, err
	}
	return reply.StartJob, nil
}

// FinishJob records the end of an attempt at a job.
func (s *controlService) FinishJob(ctx context.Context, request *apipb.FinishJobRequest) (*apipb.FinishJobReply, error) {
	reply, err := s.run(ctx, &apipb.Command{Body: &apipb.Command_FinishJob{FinishJob: request}})
	if err != nil {
		return nil, err
	}
	return reply.FinishJob, nil
}

// JobStatus returns the status of a customer's job.
func (s *controlService) JobStatus(ctx context.Context, request *apipb.JobStatusRequest) (*apipb.JobStatusReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := engine.barrier(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	var job *apipb.Job
	if err := engine.do(ctx, func() { job = engine.store.Job(request.JobId, request.Customer) }); err != nil {
		return nil, errors.Trace(err)
	}
	return &apipb.JobStatusReply{Found: job != nil, Job: job}, nil
}
