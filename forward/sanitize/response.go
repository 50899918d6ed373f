package sanitize

import "net/http"

// DrainingHeader is set by an upstream that is shutting down.
const DrainingHeader = "X-Draining"

// reservedResponseHeaders are the response headers that the proxy sets for callers; they
// are removed from responses of upstreams, which could otherwise forge them.
var reservedResponseHeaders = map[string]bool{
	DrainingHeader: true, "X-Request-Run": true,
	"X-Request-Id": true, "Idempotency-Replayed": true,
}

// CopyResponseHeader copies the headers of an upstream's response that the caller may see
// to dst.
func CopyResponseHeader(dst, src http.Header) {
	named := connectionOptions(src)
	for name, values := range src {
		if hopByHopHeaders[name] || reservedResponseHeaders[name] || named[name] {
			continue
		}
		dst[name] = values
	}
}

// IsDraining reports whether the response says that its upstream is shutting down. A 503
// that closes the connection says so unless the request had asked for the close.
func IsDraining(resp *http.Response, closeRequested bool) bool {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Close && !closeRequested {
		return true
	}
	return resp.Header.Get(DrainingHeader) == "true"
}
