package store

import "pistachiomount.example/pistachiomount/apipb"

// Result is the answer to one applied command. Exactly one reply is set, none
// for entries that are no commands.
type Result struct {
	RequestID  uint64
	Submit     *apipb.SubmitResult
	Claim      *apipb.ClaimReply
	Complete   *apipb.CompleteReply
	Enqueue    *apipb.EnqueueReply
	StartJob   *apipb.StartJobReply
	FinishJob  *apipb.FinishJobReply
	Evacuation *apipb.EvacuationResult
	Holder     *apipb.HolderResult
}
