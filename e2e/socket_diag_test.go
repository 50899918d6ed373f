package e2e_test

import (
	"encoding/binary"
	stderrors "errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Layout of the messages of sock_diag(7) for one TCP socket.
const (
	netlinkSockDiag   = 4  // NETLINK_SOCK_DIAG
	sockDiagByFamily  = 20 // SOCK_DIAG_BY_FAMILY
	diagRequestBytes  = 72
	diagResponseBytes = 88 // up to the inode
	diagBufferBytes   = 8 << 10
	noSocketCookie    = 0xffffffff // INET_DIAG_NOCOOKIE
	allSocketStates   = 0xffffffff
)

// inodeOfSocket returns the inode of the TCP socket with these addresses. It asks the kernel for that
// one socket: reading the table of all sockets takes long enough, with thousands of them, that
// leaders lose their leases behind a forwarder. The table is read where sock_diag is not available.
func inodeOfSocket(local, remote net.Addr) (uint32, error) {
	inode, err := inodeFromDiag(local, remote)
	var failed *os.SyscallError
	if errors.As(err, &failed) {
		return inodeFromTable(local, remote)
	}
	return inode, err
}

// inodeFromTable looks a socket up in the table of all sockets. Closed connections stay in it for a minute,
// without an inode, and their local port may be in use again.
func inodeFromTable(local, remote net.Addr) (uint32, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, errors.Trace(err)
	}
	from, to := tableAddress(local), tableAddress(remote)
	for _, line := range strings.Split(string(table), "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == from && fields[2] == to {
			inode, err := strconv.ParseUint(fields[9], 10, 32)
			return uint32(inode), errors.Trace(err)
		}
	}
	return 0, errors.NotFoundf("socket at %v", local)
}

// tableAddress returns an address as the table writes it.
func tableAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// inodeFromDiag asks the kernel for the one socket.
func inodeFromDiag(local, remote net.Addr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, errors.Trace(os.NewSyscallError("socket", err))
	}
	defer func() { _ = syscall.Close(fd) }()
	request := diagRequest(local.(*net.TCPAddr), remote.(*net.TCPAddr))
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, errors.Trace(os.NewSyscallError("sendto", err))
	}
	response := make([]byte, diagBufferBytes)
	n, _, err := syscall.Recvfrom(fd, response, 0)
	switch {
	case err != nil:
		return 0, errors.Trace(os.NewSyscallError("recvfrom", err))
	case n < diagResponseBytes || binary.NativeEndian.Uint16(response[4:]) != sockDiagByFamily:
		return 0, errors.NotFoundf("socket from %v to %v", local, remote)
	}
	return binary.NativeEndian.Uint32(response[84:]), nil
}

// diagRequest encodes a nlmsghdr and an inet_diag_req_v2.
func diagRequest(local, remote *net.TCPAddr) []byte {
	m := make([]byte, diagRequestBytes)
	binary.NativeEndian.PutUint32(m[0:], diagRequestBytes)
	binary.NativeEndian.PutUint16(m[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(m[6:], syscall.NLM_F_REQUEST)
	m[16], m[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(m[20:], allSocketStates)
	binary.BigEndian.PutUint16(m[24:], uint16(local.Port))
	binary.BigEndian.PutUint16(m[26:], uint16(remote.Port))
	copy(m[28:], local.IP.To4())
	copy(m[44:], remote.IP.To4())
	binary.NativeEndian.PutUint32(m[64:], noSocketCookie)
	binary.NativeEndian.PutUint32(m[68:], noSocketCookie)
	return m
}

// Guards against a forwarder that takes the connection of one process for that of another: both ways to
// find a socket give the one that the process has open.
func TestSocketIsFoundByItsAddresses(t *testing.T) {
	is := is.New(t)
	conn, err := net.Dial("tcp", listenForSockets(t).String())
	is.NoErr(err)
	checkSocketIsFound(t, conn)
}

// Guards against a socket that is taken for a closed one of the same local port.
func TestSocketIsFoundBesideAClosedOneOfItsPort(t *testing.T) {
	is := is.New(t)
	first, second := listenForSockets(t), listenForSockets(t)
	var reuse net.Dialer
	reuse.Control = func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
		return errors.Trace(stderrors.Join(controlErr, err))
	}
	closed, err := reuse.Dial("tcp", first.String())
	is.NoErr(err)
	reuse.LocalAddr = closed.LocalAddr()
	is.NoErr(closed.Close()) // the side that closes first keeps the entry
	conn, err := reuse.Dial("tcp", second.String())
	is.NoErr(err)
	checkSocketIsFound(t, conn)
}

// listenForSockets returns the address of a listener that closes a connection once its other side has.
func listenForSockets(t *testing.T) net.Addr {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr()
}

func checkSocketIsFound(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	defer func() { _ = conn.Close() }()
	file, err := conn.(*net.TCPConn).File()
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	want, err := os.Readlink(fmt.Sprintf("/proc/self/fd/%d", file.Fd()))
	is.NoErr(err)
	byDiag, err := inodeOfSocket(conn.LocalAddr(), conn.RemoteAddr())
	is.NoErr(err)
	byTable, err := inodeFromTable(conn.LocalAddr(), conn.RemoteAddr())
	is.NoErr(err)
	is.Equal(fmt.Sprintf("socket:[%d]", byDiag), want)
	is.Equal(byTable, byDiag)
}
