package sanitize

import (
	"net/url"
	"strings"
	"unicode/utf8"
)

// Target is a validated request target.
type Target struct {
	// Path is the decoded path, which selects the route.
	Path string
	// RawPath is the encoded path that is sent to the upstream.
	RawPath string
	// RawQuery is the encoded query without the question mark.
	RawQuery string
}

// String returns the target in origin form.
func (t Target) String() string {
	if t.RawQuery == "" {
		return t.RawPath
	}
	return t.RawPath + "?" + t.RawQuery
}

// ParseTarget validates a request target in origin form. It rejects every path that
// another implementation could resolve to a different route, instead of normalising it, so
// that all proxies and upstreams agree on what the path means.
func ParseTarget(uri string) (Target, error) {
	if uri == "" || uri[0] != '/' {
		return Target{}, ErrMalformedTarget
	}
	raw, query, _ := strings.Cut(uri, "?")
	path, ok := decodePath(raw)
	if !ok || !hasNoDotSegments(path) || !isValidQuery(query) {
		return Target{}, ErrMalformedTarget
	}
	if err := checkParameters(query); err != nil {
		return Target{}, err
	}
	return Target{Path: path, RawPath: raw, RawQuery: query}, nil
}

func decodePath(raw string) (string, bool) {
	var decoded []byte
	for i := 0; i < len(raw); i++ {
		c := raw[i]
		if c != '%' {
			if c <= ' ' || c >= 0x7f || c == '\\' || c == ';' || c == '#' {
				return "", false
			}
			if decoded != nil {
				decoded = append(decoded, c)
			}
			continue
		}
		v, ok := unhex(raw, i)
		if !ok || mustNotBeEncoded(v) {
			return "", false
		}
		if decoded == nil {
			decoded = append(make([]byte, 0, len(raw)), raw[:i]...)
		}
		decoded = append(decoded, v)
		i += 2
	}
	if decoded == nil {
		return raw, true
	}
	return string(decoded), utf8.Valid(decoded)
}

// mustNotBeEncoded reports whether a byte may not be percent-encoded in a path: unreserved
// characters, whose encoded form is another spelling of the same path, control characters,
// path separators, dots, semicolons and percent signs.
func mustNotBeEncoded(v byte) bool {
	switch {
	case 'a' <= v && v <= 'z', 'A' <= v && v <= 'Z', '0' <= v && v <= '9', v < ' ', v == 0x7f:
		return true
	}
	return strings.IndexByte(`-._~/\;%`, v) >= 0
}

func unhex(s string, i int) (byte, bool) {
	if i+2 >= len(s) {
		return 0, false
	}
	hi, ok1 := hexDigit(s[i+1])
	lo, ok2 := hexDigit(s[i+2])
	return hi<<4 | lo, ok1 && ok2
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func hasNoDotSegments(path string) bool {
	if strings.Contains(path, "//") {
		return false
	}
	for rest := path[1:]; rest != ""; {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func isValidQuery(query string) bool {
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return false
		}
	}
	return true
}

func checkParameters(query string) error {
	for query != "" {
		pair, rest := cutPair(query)
		query = rest
		name, _, _ := strings.Cut(pair, "=")
		decoded, err := url.QueryUnescape(name)
		if err != nil {
			return ErrMalformedTarget
		}
		if isKeyParameter(decoded) {
			return ErrKeyInQuery
		}
	}
	return nil
}

// cutPair splits at semicolons too, because some upstreams accept them as separators.
func cutPair(query string) (pair, rest string) {
	if i := strings.IndexAny(query, "&;"); i >= 0 {
		return query[:i], query[i+1:]
	}
	return query, ""
}

func isKeyParameter(name string) bool {
	switch strings.ToLower(strings.ReplaceAll(name, "-", "_")) {
	case "api_key", "x_api_key", "key", "access_token":
		return true
	}
	return false
}

// WithoutKey returns the target without the query parameters that contain the key. It
// returns false if the result still contains the key.
func (t Target) WithoutKey(key string) (Target, bool) {
	if ContainsKey(t.RawPath, key) {
		return Target{}, false
	}
	if !ContainsKey(t.String(), key) {
		return t, true
	}
	kept := make([]string, 0, 4)
	for query := t.RawQuery; query != ""; {
		var pair string
		if pair, query = cutPair(query); !ContainsKey(pair, key) {
			kept = append(kept, pair)
		}
	}
	if t.RawQuery = strings.Join(kept, "&"); ContainsKey(t.RawQuery, key) {
		t.RawQuery = "" // the key itself contains a separator
	}
	return t, !ContainsKey(t.String(), key)
}
