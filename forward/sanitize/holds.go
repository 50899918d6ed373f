package sanitize

import (
	"net/url"
	"strings"
)

// decodeRounds bounds how often percent-encoding is undone while looking for a
// key: upstream frameworks decode once, some proxies behind them twice.
const decodeRounds = 3

// Holds reports whether the text contains the key, also percent-encoded.
func Holds(text, key string) bool {
	if key == "" {
		return false
	}
	for range decodeRounds {
		if strings.Contains(text, key) {
			return true
		}
		if !strings.ContainsAny(text, "%+") {
			return false
		}
		decoded, err := url.QueryUnescape(text)
		if err != nil {
			decoded, err = url.PathUnescape(strings.ReplaceAll(text, "%%", "%25%"))
		}
		if err != nil || decoded == text {
			return false
		}
		text = decoded
	}
	return strings.Contains(text, key)
}

func holdsFold(text, key string) bool {
	return key != "" && strings.Contains(strings.ToLower(text), strings.ToLower(key))
}
