package announce

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxQuotedValue limits the bytes of an invalid value in a log line.
	maxQuotedValue = 40
	// MaxPause bounds how long an upstream may ask for no requests.
	MaxPause = 5 * time.Minute
	// leavingValue is the value of the header of an upstream that leaves.
	leavingValue = "1"
	// retryAfter is the standard header of a response that rejects a request.
	retryAfter = "Retry-After"
)

// HeaderNames are the names of the response headers in which upstreams announce something.
type HeaderNames struct {
	// RateLimit carries the requests per second that the upstream accepts from all VMs together.
	RateLimit string
	// Leaving says that the upstream is shutting down.
	Leaving string
}

// Parse reads the head of a response that came from the upstream itself.
func (n HeaderNames) Parse(status int, header http.Header) Announcement {
	a := Announcement{Heard: true}
	a.Leaving = n.Leaving != "" && strings.TrimSpace(header.Get(n.Leaving)) == leavingValue
	if n.RateLimit != "" {
		a.parseLimit(n.RateLimit, header.Get(n.RateLimit))
	}
	if status == http.StatusServiceUnavailable {
		a.parsePause(header.Get(retryAfter))
	}
	return a
}

func (a *Announcement) parseLimit(name, text string) {
	if text == "" {
		return
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		a.reject(name, text)
		return
	}
	a.Limited, a.RateLimit = true, limit
}

// parsePause reads a delay in seconds, which may have a fraction. One that is too long is bounded, and
// reported as well.
func (a *Announcement) parsePause(text string) {
	if text == "" {
		return
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !math.IsInf(seconds, 1) || !(seconds >= 0) {
		a.reject(retryAfter, text)
		return
	}
	if seconds > MaxPause.Seconds() {
		a.reject(retryAfter, text)
		seconds = MaxPause.Seconds()
	}
	a.Pause = time.Duration(seconds * float64(time.Second))
}

func (a *Announcement) reject(name, text string) {
	a.Invalid = fmt.Sprintf("%s: %.*q", name, maxQuotedValue, text)
}
