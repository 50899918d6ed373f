package forward

import (
	"net/http"
	"strings"

	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// flatten returns headers in the form that is stored with claims and jobs. Cookies belong
// to the connection on which they were set and are not stored; their values cannot be
// joined either.
func flatten(h http.Header) map[string]string {
	clean := make(http.Header, len(h))
	sanitize.CopyResponseHeader(clean, h)
	flat := make(map[string]string, len(clean))
	for name, values := range clean {
		if name != "Set-Cookie" && name != "Content-Length" {
			flat[name] = strings.Join(values, ", ")
		}
	}
	return flat
}
