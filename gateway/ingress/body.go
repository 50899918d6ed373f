package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/memlimit"
)

// errBodyTooLarge is returned if a body of unknown length exceeds the limit.
const errBodyTooLarge = errors.ConstError("request body too large")

// bufferedBody is a body whose beginning, or all of it, has been read.
type bufferedBody struct {
	prefix   []byte
	complete bool
	rest     *restReader
	memory   memlimit.Reservation
}

// grow enlarges the buffer. It reports whether there is space for more.
func (b *bufferedBody) grow() bool {
	size := min(cap(b.prefix)*bodyBufferGrowth, maxBufferedBody+1)
	if !b.memory.Grow(size) {
		return false
	}
	b.prefix = append(make([]byte, 0, size), b.prefix...)
	return true
}

// releaseBody returns the memory of a request's body to the budget, once it will not be sent any more.
func releaseBody(r *http.Request) {
	if buffered, ok := r.Body.(*bufferedBody); ok {
		buffered.memory.Release()
	}
}

func (b *bufferedBody) Read([]byte) (int, error) { return 0, io.EOF }

func (b *bufferedBody) Close() error { return nil }

// restReader reads the remainder of a long body.
type restReader struct {
	nc   net.Conn
	r    io.Reader
	left int64
}

func (r *restReader) Read(p []byte) (int, error) {
	_ = r.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := r.r.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}

// newRequest returns the request that is passed to the handler.
func newRequest(r *http.Request, length int64) *Request {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	request := &Request{
		Method: r.Method, Target: r.RequestURI, Path: path, Host: r.Host, Header: r.Header,
		Length: length, Received: time.Now(), HTTP10: !r.ProtoAtLeast(1, 1),
	}
	if buffered, ok := r.Body.(*bufferedBody); ok {
		request.Body = buffered.prefix
		if buffered.rest != nil {
			request.Rest = buffered.rest
		} else {
			request.Length = int64(len(buffered.prefix))
		}
	}
	return request
}
