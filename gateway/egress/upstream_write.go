package egress

import (
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Write implements io.Writer. While the write of a long request is blocked it looks for the end of the upstream's side,
// which cannot be told from a failure of the connection afterwards. A short one is not blocked: the kernel takes it whole.
func (c *upstreamConn) Write(p []byte) (int, error) {
	for written := 0; ; {
		if c.long {
			_ = c.nc.SetWriteDeadline(earliest(time.Now().Add(endCheckInterval), c.deadline))
		}
		n, err := c.nc.Write(p[written:])
		written += n
		if err == nil {
			return written, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(c.deadline) {
			c.failure = errors.Trace(err)
			return written, err
		}
		c.ended = c.ended || c.upstreamEnded()
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// failedBeforeEnd reports whether a write found that the connection had failed before the upstream ended its side. The
// kernel reports a failure once: after that write, reads return what has arrived and then io.EOF, as after an orderly
// end. Linux reports EPIPE for a reset that follows such an end.
func (c *upstreamConn) failedBeforeEnd() bool {
	return c.failure != nil && !c.ended && !errors.Is(c.failure, unix.EPIPE)
}

// upstreamEnded reports whether the upstream has ended its side and the connection has not failed since.
func (c *upstreamConn) upstreamEnded() bool {
	revents := int16(0)
	c.control(func(raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			if n, err := unix.Poll(fds, 0); err == nil && n == 1 {
				revents = fds[0].Revents
			}
		})
	})
	return revents&(unix.POLLRDHUP|unix.POLLERR|unix.POLLHUP) == unix.POLLRDHUP
}

// control passes the connection's socket to f. It reports whether there is one and f succeeded.
func (c *upstreamConn) control(f func(syscall.RawConn) error) bool {
	conn, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && f(raw) == nil
}
