package ingress

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// interimResponse sends "100 Continue" once all earlier responses on the connection are sent. The body is
// awaited meanwhile, because a caller may send it without the response, or leave.
type interimResponse struct {
	once    sync.Once
	stopped chan struct{}
	done    chan struct{}
}

func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// startInterim begins to wait for the earlier responses. The body may take bodyTimeout from the interim
// response on.
func (c *conn) startInterim(earlierSent <-chan struct{}) *interimResponse {
	i := &interimResponse{stopped: make(chan struct{}), done: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{}) // as below, an error means that the connection has ended
	go func() {
		defer close(i.done)
		select {
		case <-earlierSent:
			if _, ended := c.state(); ended {
				return // the last response announced the end of the connection
			}
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
		case <-i.stopped:
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	}()
	return i
}

// stop ends the wait. The interim response is not sent after it returns.
func (i *interimResponse) stop() {
	i.once.Do(func() { close(i.stopped) })
	<-i.done
}

// stoppingReader stops the wait for the interim response once the body has begun or failed.
type stoppingReader struct {
	io.Reader
	interim *interimResponse
}

// Read implements io.Reader.
func (r *stoppingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.interim.stop()
	return n, err
}
