package transport_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/transport"
)

// listenWithFullQueue returns the address of a listener whose queue of connections is full. The kernel
// drops further SYNs, as those to a VM that is down are dropped.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener does not fill")
	return ""
}

// Guards against a VM that waits for most of a second for a control VM that is down, in place of trying
// the next one: after a loss of all power the first connection of every VM is lost that way.
func TestPeerThatIsDownIsGivenUpSoon(t *testing.T) {
	address := listenWithFullQueue(t)
	started := time.Now()
	err := watch(t, address, &transport.Security{Insecure: true})
	is := is.New(t)
	is.True(err != nil)
	is.True(time.Since(started) < time.Second) // when the kernel would send the SYN again
}
