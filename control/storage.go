package control

import "pistachiomount.example/pistachiomount/apipb"

// Storage makes consensus state durable. Each call returns after the data is synced.
type Storage interface {
	Save(*apipb.HardState, []*apipb.LogEntry) error
	SaveSnapshot(*apipb.Snapshot) error
}

// Sender passes consensus messages to another member. It must not block; what
// cannot be sent is dropped, and the protocol sends it again.
type Sender interface {
	Send(to *apipb.Member, messages []*apipb.ConsensusMessage)
}
