package sanitize

import "strings"

// maxDecodeRounds limits how often percent-encoding is decoded in the search for a key:
// upstream frameworks decode once, some proxies behind them twice.
const maxDecodeRounds = 3

// ContainsKey reports whether the text contains the key, also in percent-encoded form.
func ContainsKey(text, key string) bool {
	if key == "" {
		return false
	}
	for range maxDecodeRounds {
		if strings.Contains(text, key) {
			return true
		}
		decoded := decodeLenient(text)
		if len(decoded) == len(text) {
			return false
		}
		text = decoded
	}
	return strings.Contains(text, key)
}

// decodeLenient decodes the valid percent-encodings and keeps malformed ones, so that a
// malformed escape does not hide a key next to it.
func decodeLenient(text string) string {
	if strings.IndexByte(text, '%') < 0 {
		return text
	}
	decoded := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		c := text[i]
		if v, ok := unhex(text, i); c == '%' && ok {
			c = v
			i += 2
		}
		decoded = append(decoded, c)
	}
	return string(decoded)
}

func containsKeyFold(text, key string) bool {
	return key != "" && strings.Contains(strings.ToLower(text), strings.ToLower(key))
}
