// Package headtest serves responses with invalid heads to the tests of packages that read responses.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server answers the first request of each connection with a status line and a body, and keeps the connection open until
// the client closes it.
type Server struct {
	Address string
	// Requests counts the requests, Closed has an entry for each connection that the client closed.
	Requests atomic.Int32
	Closed   chan struct{}

	line, body string
}

// Complete returns a complete response with status 200.
func Complete(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Serve starts a server.
func Serve(t *testing.T, line, body string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String(), Closed: make(chan struct{}, 100), line: line, body: body}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	request, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.Requests.Add(1)
	_, _ = fmt.Fprintf(conn, "%s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", s.line, len(s.body), s.body)
	_, _ = io.Copy(io.Discard, br) // a further request on the connection gets no answer
	s.Closed <- struct{}{}
}
