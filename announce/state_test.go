package announce

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// Guards against a limit that ends because a response from before it arrives late, or that never ends.
func TestLimitEndsOnceResponsesNoLongerNameIt(t *testing.T) {
	is := is.New(t)
	var s State
	limited := Announcement{Heard: true, Limited: true, RateLimit: 3}
	plain := Announcement{Heard: true}
	is.Equal(s.Record(start, plain), NoChange)
	is.Equal(s.Record(start, limited), LimitBegan)
	is.Equal(s.Record(start.Add(100*time.Millisecond), plain), NoChange) // overtaken
	is.Equal(s.Record(start.Add(3*time.Second), Announcement{}), NoChange)
	is.Equal(s.Record(start.Add(3*time.Second), Announcement{Heard: true, Invalid: "x"}), NoChange)
	is.True(s.Limited())
	is.Equal(s.Record(start.Add(4*time.Second), plain), LimitEnded)
	is.True(!s.Limited())
}
