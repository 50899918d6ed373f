package egress

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func strippedHeaders(names HeaderNames) map[string]bool {
	drop := map[string]bool{}
	for _, name := range hopByHopHeaders {
		drop[name] = true
	}
	for _, name := range names.Stripped {
		drop[http.CanonicalHeaderKey(name)] = true
	}
	for _, name := range []string{names.Deadline, names.Customer, names.ExpectedUpstream} {
		drop[http.CanonicalHeaderKey(name)] = true
	}
	return drop
}

// connectionTokens returns the header names listed in the Connection header.
func connectionTokens(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	tokens := map[string]bool{}
	for _, value := range values {
		for _, token := range strings.Split(value, ",") {
			tokens[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return tokens
}

// requestHead returns the encoded request line and headers.
func (p *Pool) requestHead(call *Call, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(headBufferSize + len(call.Body))
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	tokens := connectionTokens(call.Header)
	for name, values := range call.Header {
		if p.stripped[name] || tokens[name] {
			continue
		}
		for _, value := range values {
			writeHeader(&b, name, value)
		}
	}
	writeHeader(&b, p.names.ExpectedUpstream, call.Upstream)
	if call.Customer != "" {
		writeHeader(&b, p.names.Customer, call.Customer)
	}
	left := max(call.Deadline.Sub(now)-deadlineMargin, time.Millisecond)
	writeHeader(&b, p.names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	switch {
	case call.Rest != nil && call.Length < 0:
		writeHeader(&b, "Transfer-Encoding", "chunked")
	case call.Rest != nil:
		writeHeader(&b, "Content-Length", strconv.FormatInt(call.Length, 10))
	case len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead:
		writeHeader(&b, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// forwardedHeaders returns the response headers that are forwarded to the caller.
func (p *Pool) forwardedHeaders(header http.Header) http.Header {
	tokens := connectionTokens(header)
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !isHopByHop(name) && !tokens[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

func isHopByHop(name string) bool {
	for _, hop := range hopByHopHeaders {
		if hop == name {
			return true
		}
	}
	return false
}
