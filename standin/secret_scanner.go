package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"sync"
)

// scanBufferBytes is the size of the chunks in which bodies are searched.
const scanBufferBytes = 64 << 10

// secretScanner searches requests for configured secrets.
type secretScanner struct {
	secrets [][]byte
	// overlap is the number of bytes carried over between two chunks of a body,
	// so that a secret that spans both is found.
	overlap int
	onFound func(place string)
	buffers sync.Pool
}

func newSecretScanner(secrets []string, onFound func(string)) *secretScanner {
	s := &secretScanner{onFound: onFound}
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

func (s *secretScanner) containsSecret(text []byte) bool {
	for _, secret := range s.secrets {
		if bytes.Contains(text, secret) {
			return true
		}
	}
	return false
}

func (s *secretScanner) scanHeader(location string, header http.Header) {
	for name, values := range header {
		if s.containsSecret([]byte(name)) {
			s.onFound(location + " name")
		}
		for _, value := range values {
			if s.containsSecret([]byte(value)) {
				s.onFound(location + " " + name)
			}
		}
	}
}

// scanRequestLine searches the path, the host, and the query in raw and unescaped form.
func (s *secretScanner) scanRequestLine(r *http.Request) {
	if query, err := url.QueryUnescape(r.URL.RawQuery); s.containsSecret([]byte(r.URL.RawQuery)) || err == nil && s.containsSecret([]byte(query)) {
		s.onFound("query")
	}
	if s.containsSecret([]byte(r.URL.Path)) || s.containsSecret([]byte(r.Host)) {
		s.onFound("path or host")
	}
}

// scanBody reads a body to its end, searches it and returns its size.
func (s *secretScanner) scanBody(body io.Reader) (int64, error) {
	pooled := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(pooled)
	buffer := *pooled
	carried, total := 0, int64(0)
	for {
		n, err := body.Read(buffer[carried:])
		total += int64(n)
		filled := buffer[:carried+n]
		if n > 0 && s.containsSecret(filled) {
			s.onFound("body")
		}
		carried = copy(buffer, filled[max(0, len(filled)-s.overlap):])
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
