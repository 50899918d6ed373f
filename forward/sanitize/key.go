package sanitize

import (
	"net/http"
	"strings"
)

// ExtractKey returns the only API key of a request, from Authorization: Bearer or
// X-Api-Key.
func ExtractKey(h http.Header) (string, error) {
	bearer, apiKey := h["Authorization"], h["X-Api-Key"]
	switch {
	case len(bearer)+len(apiKey) == 0:
		return "", ErrKeyMissing
	case len(bearer)+len(apiKey) > 1:
		return "", ErrKeyAmbiguous
	case len(apiKey) == 1:
		return checkKey(apiKey[0])
	}
	scheme, value, _ := strings.Cut(bearer[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", ErrKeyMissing
	}
	return checkKey(value)
}

func checkKey(value string) (string, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return "", ErrKeyMissing
	}
	if strings.ContainsAny(value, ", \t") {
		return "", ErrKeyAmbiguous
	}
	return value, nil
}
