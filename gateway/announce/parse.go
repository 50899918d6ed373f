package announce

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// maxQuotedValue limits the bytes of an invalid value in a log line.
const maxQuotedValue = 40

// HeaderNames are the names of the response headers in which upstreams announce something.
type HeaderNames struct {
	// RateLimit carries the requests per second that the upstream accepts from all VMs together.
	RateLimit string
}

// Parse reads the head of a response that came from the upstream itself.
func (n HeaderNames) Parse(header http.Header) Announcement {
	a := Announcement{Heard: true}
	text := strings.TrimSpace(valueOf(header, n.RateLimit))
	if text == "" {
		return a
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		a.Invalid = fmt.Sprintf("%s: %.*q", n.RateLimit, maxQuotedValue, text)
		return a
	}
	a.Limited, a.RateLimit = true, limit
	return a
}

// valueOf returns the first value of a header; "" if the header has no name here.
func valueOf(header http.Header, name string) string {
	if name == "" {
		return ""
	}
	return header.Get(name)
}
