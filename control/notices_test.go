package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// Guards against an announcement of an upstream that reaches only the VM that heard it, or that lasts after
// the VM no longer reports it.
func TestNoticesReachOtherVMs(t *testing.T) {
	is := is.New(t)
	n := newNotices()
	renew := func(at time.Duration, vm string, notices ...*apipb.UpstreamNotice) []*apipb.UpstreamNotice {
		reply := &apipb.RenewReply{}
		n.addTo(reply, &apipb.RenewRequest{Vm: &apipb.Vm{Name: vm}, Notices: notices}, clock.Instant{Mono: at})
		return reply.Notices
	}
	renew(time.Second, "a", &apipb.UpstreamNotice{Upstream: "u", LeavingAge: 101})
	got := renew(2*time.Second, "b")
	is.Equal(len(got), 1)
	is.Equal(got[0].Upstream, "u")
	is.Equal(got[0].LeavingAge, uint32(1101))
	renew(3*time.Second, "a")
	is.Equal(len(renew(4*time.Second, "b")), 0)
}
