package sanitize

import "net/http"

// DrainingHeader is set by an upstream that is leaving.
const DrainingHeader = "X-Draining"

// ownResponse names response headers by which the entry hop itself speaks to
// the caller; an upstream must not be able to claim them.
var ownResponse = map[string]bool{
	DrainingHeader: true, "X-Request-Run": true,
	"X-Request-Id": true, "Idempotency-Replayed": true,
}

// ResponseHeader copies to dst the headers of an upstream that the caller may see.
func ResponseHeader(dst, src http.Header) {
	named := namedByConnection(src)
	for name, values := range src {
		if hopByHop[name] || ownResponse[name] || named[name] {
			continue
		}
		dst[name] = values
	}
}

// Draining reports whether the response says that its upstream is leaving. A
// closing connection says so only if the request had not asked for the close.
func Draining(resp *http.Response, askedToClose bool) bool {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Close && !askedToClose {
		return true
	}
	return resp.Header.Get(DrainingHeader) == "true"
}
