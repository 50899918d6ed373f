package sanitize

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders names the headers that concern one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// reservedRequestHeaders names further request headers that never pass: keys, and those
// that the entry hop sets itself.
var reservedRequestHeaders = map[string]bool{
	"Authorization": true, "X-Api-Key": true, "Api-Key": true,
	"X-Customer": true, "X-Request-Id": true, "X-Request-Deadline-Ms": true,
	"Traceparent": true, "Tracestate": true, "Baggage": true,
	"Forwarded": true, "X-Real-Ip": true, "Expect": true,
	// The hop sends whole bodies with their length and names the upstream as host.
	"Content-Length": true, "Host": true,
}

// FilterRequestHeader returns the headers of the caller that may go to an upstream.
// The values are shared with src.
func FilterRequestHeader(src http.Header, key string) http.Header {
	dst := make(http.Header, len(src)+8)
	named := connectionOptions(src)
	for name, values := range src {
		if isRemovedFromRequest(name) || named[name] || headerContainsKey(name, values, key) {
			continue
		}
		dst[name] = values
	}
	return dst
}

func isRemovedFromRequest(name string) bool {
	if strings.IndexByte(name, '_') >= 0 {
		// Upstreams with CGI-style variables do not tell X_Customer from X-Customer.
		name = textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return hopByHopHeaders[name] || reservedRequestHeaders[name] || strings.HasPrefix(name, "X-Forwarded-")
}

func headerContainsKey(name string, values []string, key string) bool {
	if key == "" {
		return false
	}
	for _, v := range values {
		if ContainsKey(v, key) {
			return true
		}
	}
	return containsKeyFold(name, key) // names were changed to canonical case
}

func connectionOptions(h http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name == "" {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(name)] = true
		}
	}
	return named
}

// WantsUpgrade reports whether the request asks for another protocol.
func WantsUpgrade(h http.Header) bool {
	return len(h["Upgrade"]) > 0 || connectionOptions(h)["Upgrade"]
}
