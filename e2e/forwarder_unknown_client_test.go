package e2e_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a forwarder that passes bytes of a client that it cannot identify while it is
// to drop those of one process: a partition of that process would leak.
func TestForwarderRefusesUnknownClientsDuringPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	f := newForwarder(t, echo.Addr().String())
	exchange := func() error {
		conn, err := net.Dial("tcp", f.address())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "ping")
		is.NoErr(err)
		_, err = io.ReadFull(conn, make([]byte, len("ping")))
		return err
	}
	is.NoErr(exchange())           // no rule depends on the client
	f.setRule(&process{}, dropAll) // the test itself is no process of the installation
	is.True(exchange() != nil)     // refused
	f.setRule(&process{}, faultRule{})
}
