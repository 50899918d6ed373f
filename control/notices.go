package control

import (
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// notices merges what upstreams announced to the entry VMs, during one term.
type notices struct {
	mu    sync.Mutex
	board *announce.Board
}

func newNotices() *notices { return &notices{board: announce.NewBoard()} }

// addTo records the notices of a renewal and adds those of all VMs to its reply.
func (n *notices) addTo(reply *apipb.RenewReply, request *apipb.RenewRequest, at clock.Instant) {
	now := time.Unix(0, 0).Add(at.Mono) // only differences matter
	n.mu.Lock()
	defer n.mu.Unlock()
	n.board.Record(now, request.Vm.Name, announce.DecodeNotices(now, request.Notices))
	reply.Notices = announce.EncodeNotices(now, n.board.Summary(now))
}
