package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"sync"
)

// scanBufferBytes is the size of the pieces in which bodies are searched.
const scanBufferBytes = 64 << 10

// secretScan searches requests for configured secrets.
type secretScan struct {
	secrets [][]byte
	// overlap keeps a secret that lies across two pieces of a body findable.
	overlap int
	saw     func(place string)
	buffers sync.Pool
}

func newSecretScan(secrets []string, saw func(string)) *secretScan {
	s := &secretScan{saw: saw}
	for _, secret := range secrets {
		if secret != "" {
			s.secrets = append(s.secrets, []byte(secret))
			s.overlap = max(s.overlap, len(secret)-1)
		}
	}
	s.buffers.New = func() any {
		buffer := make([]byte, s.overlap+scanBufferBytes)
		return &buffer
	}
	return s
}

func (s *secretScan) in(text []byte) bool {
	for _, secret := range s.secrets {
		if bytes.Contains(text, secret) {
			return true
		}
	}
	return false
}

func (s *secretScan) header(place string, header http.Header) {
	for name, values := range header {
		if s.in([]byte(name)) {
			s.saw(place + " name")
		}
		for _, value := range values {
			if s.in([]byte(value)) {
				s.saw(place + " " + name)
			}
		}
	}
}

// line searches the request line, also with its escapes resolved.
func (s *secretScan) line(r *http.Request) {
	if query, err := url.QueryUnescape(r.URL.RawQuery); s.in([]byte(r.URL.RawQuery)) || err == nil && s.in([]byte(query)) {
		s.saw("query")
	}
	if s.in([]byte(r.URL.Path)) || s.in([]byte(r.Host)) {
		s.saw("path or host")
	}
}

// body reads a body to its end, searches it and returns its size.
func (s *secretScan) body(body io.Reader) (int64, error) {
	pooled := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(pooled)
	buffer := *pooled
	kept, total := 0, int64(0)
	for {
		n, err := body.Read(buffer[kept:])
		total += int64(n)
		filled := buffer[:kept+n]
		if n > 0 && s.in(filled) {
			s.saw("body")
		}
		kept = copy(buffer, filled[max(0, len(filled)-s.overlap):])
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
