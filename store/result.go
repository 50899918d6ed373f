package store

import "pistachiomount.example/pistachiomount/apipb"

// Result is the reply to one applied command. At most one of the replies is set;
// entries that are not commands, and SetCluster commands, have none.
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
