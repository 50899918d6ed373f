package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// recorder is an upstream that records the requests it receives, byte for byte.
type recorder struct {
	*httptest.Server
	upstream Upstream
	mu       sync.Mutex
	seen     []string
}

func newRecorder(t testing.TB, name, region string, serve http.HandlerFunc) *recorder {
	u := &recorder{}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var head strings.Builder
		fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
		_ = r.Header.Write(&head)
		_ = r.Trailer.Write(&head)
		u.mu.Lock()
		u.seen = append(u.seen, head.String()+"\r\n"+string(body))
		u.mu.Unlock()
		if serve != nil {
			serve(w, r)
		} else {
			_, _ = io.WriteString(w, name)
		}
	}))
	u.upstream = Upstream{Name: name, Address: u.Listener.Addr().String(), Region: region}
	t.Cleanup(func() {
		u.CloseClientConnections()
		u.Close()
	})
	return u
}

func (u *recorder) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}
