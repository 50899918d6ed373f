package sanitize

import "net/http"

// DrainingHeader is set by an upstream that is leaving.
const DrainingHeader = "X-Draining"

// reservedResponseHeaders names response headers by which the entry hop itself speaks to
// the caller; an upstream must not be able to claim them.
var reservedResponseHeaders = map[string]bool{
	DrainingHeader: true, "X-Request-Run": true,
	"X-Request-Id": true, "Idempotency-Replayed": true,
}

// CopyResponseHeader copies to dst the headers of an upstream that the caller may see.
func CopyResponseHeader(dst, src http.Header) {
	named := connectionOptions(src)
	for name, values := range src {
		if hopByHopHeaders[name] || reservedResponseHeaders[name] || named[name] {
			continue
		}
		dst[name] = values
	}
}

// IsDraining reports whether the response says that its upstream is leaving. A
// closing connection says so only if the request had not asked for the close.
func IsDraining(resp *http.Response, closeRequested bool) bool {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Close && !closeRequested {
		return true
	}
	return resp.Header.Get(DrainingHeader) == "true"
}
