package forward

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/memlimit"
)

const (
	// initialBodyBytes is the initial buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// maxInitialBodyBytes limits the memory that is reserved because of a Content-Length
	// alone.
	maxInitialBodyBytes = 256 << 10
)

var errBodyMemory = errors.ConstError("memory for request bodies is used up")

// readBody reads the complete body before anything is sent, so that a slow caller holds no
// slot and the digest of a claim covers what is sent. It returns the memory reserved, also
// with an error.
func readBody(memory *memlimit.Budget, w http.ResponseWriter, r *http.Request, limit uint64) (body []byte, reserved int, err error) {
	src := http.MaxBytesReader(w, r.Body, int64(limit))
	size := initialBodyBytes
	if r.ContentLength > 0 {
		size = int(min(uint64(r.ContentLength), limit, maxInitialBodyBytes))
	}
	for {
		if !memory.Reserve(size) {
			return nil, reserved, errBodyMemory
		}
		reserved += size
		body = append(make([]byte, 0, len(body)+size), body...)
		done, err := fillBody(src, &body)
		if done || err != nil {
			return body, reserved, err
		}
		size = cap(body)
	}
}

// fillBody reads until the body ends or its capacity is used up.
func fillBody(src io.Reader, body *[]byte) (done bool, err error) {
	b := *body
	for len(b) < cap(b) {
		n, err := src.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*body = b
		if err != nil {
			return err == io.EOF, ignoreEOF(err)
		}
	}
	var extra [1]byte
	n, err := src.Read(extra[:])
	*body = append(b, extra[:n]...)
	return err == io.EOF, ignoreEOF(err)
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

func rejectBody(err error) *reject.Rejection {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return reject.New(reject.BodyTooLarge, "request body exceeds the limit of the route")
	case errors.Is(err, errBodyMemory):
		return reject.New(reject.OverCapacity, err.Error()).WithRetryAfter(defaultRetryDelay)
	case isTimeout(err):
		return reject.New(reject.Deadline, "the request body did not arrive in time")
	}
	return reject.New(reject.BadRequest, "the request body is malformed or cut off")
}
