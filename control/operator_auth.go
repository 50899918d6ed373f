package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// operatorAuth authenticates operators by the digests of their tokens.
type operatorAuth struct {
	tokens map[string]string
}

// operator returns the name of the operator whose token the request carries. It
// compares every digest, so that the duration reveals nothing about the tokens.
func (a *operatorAuth) operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for known, operator := range a.tokens {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(known)), digest) == 1 {
			name, found = operator, true
		}
	}
	return name, found
}

// requireToken rejects requests without a known token.
func (a *operatorAuth) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := a.operator(r); !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "unauthorized", "a known operator token is needed")
			return
		}
		next.ServeHTTP(w, r)
	})
}
