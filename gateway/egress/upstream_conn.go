package egress

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pistachiomount.example/pistachiomount/headlimit"
)

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	nc net.Conn
	br *bufio.Reader
	// head limits the bytes of response heads.
	head *headlimit.Reader
	// usableUntil is when the idle connection expires; zero if the connection must not be reused.
	usableUntil time.Time
	// fresh is set until the connection has carried a response.
	fresh bool
	// deadline is that of the request, which also bounds writes.
	deadline time.Time
	// long is set if the request may exceed what the kernel takes at once.
	long bool
	// failure is the error of the write that failed; ended is set if the upstream was seen to end its side before.
	failure error
	ended   bool
}

func newUpstreamConn(nc net.Conn) *upstreamConn {
	head := headlimit.NewReader(nc)
	return &upstreamConn{nc: nc, head: head, br: bufio.NewReaderSize(head, readBufferSize), fresh: true}
}

// isIdle reports whether the idle connection is open and has no unread data: unsolicited bytes would
// be read as part of the next response.
func (c *upstreamConn) isIdle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	idle := false
	ok := c.control(func(raw syscall.RawConn) error {
		return raw.Read(func(fd uintptr) bool {
			var b [1]byte
			_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			idle = err == unix.EAGAIN
			return true
		})
	})
	return ok && idle
}

// keepUntil sets usableUntil from the Keep-Alive header of a response.
func (c *upstreamConn) keepUntil(now time.Time, header http.Header) {
	idle := defaultIdleTimeout
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(seconds) * time.Second
		}
	}
	c.usableUntil = now.Add(idle - idleMargin)
}

// setUserTimeout makes the kernel close a connection whose peer no longer acknowledges data.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
