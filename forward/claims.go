package forward

import (
	"context"

	"pistachiomount.example/pistachiomount/apipb"
)

// Claims commits requests that must run at most once.
type Claims interface {
	Claim(context.Context, *apipb.ClaimRequest) (*apipb.ClaimReply, error)
	Complete(context.Context, *apipb.CompleteRequest) (*apipb.CompleteReply, error)
}

// Jobs is the queue of deferred requests.
type Jobs interface {
	Enqueue(context.Context, *apipb.EnqueueRequest) (*apipb.EnqueueReply, error)
	Status(context.Context, *apipb.JobStatusRequest) (*apipb.JobStatusReply, error)
}
