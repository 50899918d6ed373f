package sanitize

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// reservedRequestHeaders are further request headers that are never forwarded: API keys
// and headers that the proxy sets itself.
var reservedRequestHeaders = map[string]bool{
	"Authorization": true, "X-Api-Key": true, "Api-Key": true,
	"X-Customer": true, "X-Request-Id": true, "X-Request-Deadline-Ms": true,
	"Traceparent": true, "Tracestate": true, "Baggage": true,
	"Forwarded": true, "X-Real-Ip": true, "Expect": true,
	// The proxy sends complete bodies with their length and uses the upstream as host.
	"Content-Length": true, "Host": true,
}

// FilterRequestHeader returns the headers of the caller that may be forwarded to an
// upstream. The values are shared with src.
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
		// Upstreams with CGI-style variables cannot distinguish X_Customer from
		// X-Customer.
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
	return containsKeyFold(name, key) // canonicalisation may have changed the case of the name
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

// WantsUpgrade reports whether the request asks for a protocol upgrade.
func WantsUpgrade(h http.Header) bool {
	return len(h["Upgrade"]) > 0 || connectionOptions(h)["Upgrade"]
}
