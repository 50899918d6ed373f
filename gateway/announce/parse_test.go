package announce

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a limit that cannot be used, such as one that is negative, and that stops all requests
// or is taken as no limit without notice.
func TestInvalidLimitsAreReported(t *testing.T) {
	is := is.New(t)
	names := HeaderNames{RateLimit: "X-Limit"}
	for text, want := range map[string]float64{"2.8": 2.8, " 7 ": 7, "0": 0, "1e2": 100} {
		a := names.Parse(http.Header{"X-Limit": {text}})
		is.Equal(a, Announcement{Heard: true, Limited: true, RateLimit: want})
	}
	for _, text := range []string{"-1", "NaN", "+Inf", "many", "1,5"} {
		a := names.Parse(http.Header{"X-Limit": {text}})
		is.True(a.Heard && !a.Limited && a.Invalid != "")
	}
	is.Equal(names.Parse(http.Header{}), Announcement{Heard: true})
	is.Equal(HeaderNames{}.Parse(http.Header{"X-Limit": {"1"}}), Announcement{Heard: true})
}
