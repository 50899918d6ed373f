package announce

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that cannot be used, such as one that is negative, and that stops all requests
// or is taken as no limit without notice.
func TestInvalidLimitsAreReported(t *testing.T) {
	is := is.New(t)
	names := HeaderNames{RateLimit: "X-Limit"}
	for text, want := range map[string]float64{"2.8": 2.8, " 7 ": 7, "0": 0, "1e2": 100} {
		a := names.Parse(http.StatusOK, http.Header{"X-Limit": {text}})
		is.Equal(a, Announcement{Heard: true, Limited: true, RateLimit: want})
	}
	for _, text := range []string{"-1", "NaN", "+Inf", "many", "1,5"} {
		a := names.Parse(http.StatusOK, http.Header{"X-Limit": {text}})
		is.True(a.Heard && !a.Limited && a.Invalid != "")
	}
	is.Equal(names.Parse(http.StatusOK, http.Header{}), Announcement{Heard: true})
	is.Equal(HeaderNames{}.Parse(http.StatusOK, http.Header{"X-Limit": {"1"}}), Announcement{Heard: true})
}

// Guards against a pause that blocks an upstream for hours, or that is overlooked, and against one in a
// response that rejects nothing.
func TestPausesAreBounded(t *testing.T) {
	is := is.New(t)
	parse := func(status int, text string) Announcement {
		return HeaderNames{}.Parse(status, http.Header{"Retry-After": {text}})
	}
	for text, want := range map[string]time.Duration{"2.5": 2500 * time.Millisecond, "0": 0, " 30 ": 30 * time.Second, "": 0} {
		is.Equal(parse(http.StatusServiceUnavailable, text), Announcement{Heard: true, Pause: want})
	}
	for _, text := range []string{"3600", "Inf", "1e99", "1e999"} {
		a := parse(http.StatusServiceUnavailable, text)
		is.True(a.Pause == MaxPause && a.Invalid != "")
	}
	for _, text := range []string{"-1", "-Inf", "NaN", "soon", "Fri, 04 Dec 2026 20:00:00 GMT"} {
		a := parse(http.StatusServiceUnavailable, text)
		is.True(a.Pause == 0 && a.Invalid != "")
	}
	is.Equal(parse(http.StatusOK, "5"), Announcement{Heard: true})
	is.Equal(parse(http.StatusTooManyRequests, "5"), Announcement{Heard: true})
}

// Guards against an upstream that leaves unnoticed, and against other values of the header.
func TestLeavingIsParsed(t *testing.T) {
	is := is.New(t)
	names := HeaderNames{Leaving: "X-Leaving"}
	is.True(names.Parse(http.StatusOK, http.Header{"X-Leaving": {"1"}}).Leaving)
	for _, text := range []string{"0", "", "false"} {
		is.True(!names.Parse(http.StatusOK, http.Header{"X-Leaving": {text}}).Leaving)
	}
}
