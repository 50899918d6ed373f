package responsehead

import "net/http"

// EndsWithConn reports whether the body of a response has neither a length nor chunks, so that only the end of its
// connection ends it.
func EndsWithConn(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	return response.ContentLength < 0 && !chunked && response.Body != http.NoBody
}
