package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a slot that is released while the upstream may still be running the
// request, and against slots held after it has finished.
func TestSlotIsHeldWhileTheUpstreamMayRun(t *testing.T) {
	is := is.New(t)
	x := &exchange{deadline: time.Now().Add(time.Hour)}
	is.Equal((&attempt{x: x}).slotHoldTime(), time.Duration(0)) // nothing was sent
	is.Equal((&attempt{x: x, sent: true, fullyRead: true}).slotHoldTime(), time.Duration(0))
	is.Equal((&attempt{x: x, sent: true, err: errAttemptCancelled}).slotHoldTime(), cancelGrace)
	silent := &attempt{x: x, sent: true, err: errAttemptTimeout}
	is.True(silent.slotHoldTime() > time.Hour-time.Minute) // it may not receive the cancellation
	x.deadline = time.Now().Add(-time.Second)
	is.Equal((&attempt{x: x, sent: true, err: context.DeadlineExceeded}).slotHoldTime(), cancelGrace)
}
