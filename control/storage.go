package control

import "pistachiomount.example/pistachiomount/apipb"

// Storage makes consensus state durable. Each call returns after the data is synced.
type Storage interface {
	Save(*apipb.HardState, []*apipb.LogEntry) error
	SaveSnapshot(*apipb.Snapshot) error
}

// Sender sends consensus messages to other members. Send must not block. Messages
// may be dropped, since the protocol repeats them.
type Sender interface {
	Send(to *apipb.Member, messages []*apipb.ConsensusMessage)
}
