package e2e_test

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"pistachiomount.example/pistachiomount/platform"
)

// faultyResponseTime is how long an upstream keeps a connection open after a faulty response.
const faultyResponseTime = 100 * time.Millisecond

// setFaulty makes the upstream send some of its responses in a faulty form; nil ends that.
func (u *fleetUpstream) setFaulty(form func(conn net.Conn, id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faulty = form
}

// soundResponse is what an upstream responds to a request.
func soundResponse(id string) []byte {
	names, body := platform.UpstreamHeaders(), "ran "+id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\nContent-Length: %d\r\n\r\n%s",
		names.RequestID, id, names.Signature, id, len(body), body)
}

// faultyForms are the forms of faulty responses.
func faultyForms() []func(conn net.Conn, id string) {
	send := func(parts func(id string) [][]byte) func(conn net.Conn, id string) {
		return func(conn net.Conn, id string) {
			for _, part := range parts(id) {
				if _, err := conn.Write(part); err != nil {
					return // the gateway has closed the connection
				}
				time.Sleep(faultyResponseTime)
			}
		}
	}
	return []func(conn net.Conn, id string){
		send(func(id string) [][]byte { return [][]byte{soundResponse(id)[:len(soundResponse(id))-2]} }),      // cut
		send(func(id string) [][]byte { return [][]byte{soundResponse(id), soundResponse(id)} }),              // a late copy
		send(func(id string) [][]byte { return [][]byte{bytes.Repeat(soundResponse(id), 2)} }),                // a copy at once
		send(func(string) [][]byte { return [][]byte{soundResponse("of-nobody")} }),                           // of another request
		send(func(id string) [][]byte { return [][]byte{soundResponse("of-nobody"), soundResponse(id)} }),     // after that of another
		send(func(string) [][]byte { return [][]byte{[]byte("\x00\x01 no response")} }),                       // no response
		send(func(string) [][]byte { return [][]byte{bytes.Repeat([]byte("HTTP/1.1 100 Go on\r\n"), 9000)} }), // a head without end
	}
}
