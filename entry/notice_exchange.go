package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/apipb"
)

// noticeExchange reports what upstreams announced to this VM with renewals, and receives what they
// announced to others. It is owned by the goroutine that renews.
type noticeExchange struct {
	// notices returns what upstreams announced to this VM.
	notices func(now time.Time) []announce.Notice
	// onNotices is called with what they announced to any VM.
	onNotices func(now time.Time, notices []announce.Notice)
}

// addTo adds the notices to a request.
func (e *noticeExchange) addTo(request *apipb.RenewRequest, now time.Time) {
	if e.notices == nil {
		return
	}
	request.WantsNotices, request.Notices = true, announce.EncodeNotices(now, e.notices(now))
}

// applyReply passes on the notices of a reply, which replace earlier ones also if there are none.
func (e *noticeExchange) applyReply(reply *apipb.RenewReply, now time.Time) {
	if e.onNotices != nil {
		e.onNotices(now, announce.DecodeNotices(now, reply.Notices))
	}
}
