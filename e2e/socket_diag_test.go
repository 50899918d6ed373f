package e2e_test

import (
	"encoding/binary"
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
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
// one socket: reading the table of all sockets took long enough, with thousands of them, that
// leaders lost their leases behind a forwarder.
func inodeOfSocket(local, remote net.Addr) (uint32, error) {
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
