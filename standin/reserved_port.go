package standin

import (
	"net"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// reservedPort is a socket that is bound but does not listen: the kernel refuses
// connections to it, and no other process can bind the port.
type reservedPort struct {
	socket int
}

func reservePort(address netip.AddrPort) (*reservedPort, error) {
	family, bound := sockaddr(address)
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Annotate(err, "create socket")
	}
	// Without this option, connections in TIME_WAIT prevent binding.
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(socket, bound)
	}
	if err != nil {
		_ = unix.Close(socket)
		return nil, errors.Annotatef(err, "reserve port %s", address)
	}
	return &reservedPort{socket}, nil
}

// listen starts listening on the reserved port. The reservedPort must not be used afterwards.
func (h *reservedPort) listen() (net.Listener, error) {
	file := os.NewFile(uintptr(h.socket), "held port")
	defer func() { _ = file.Close() }() // FileListener duplicates the socket
	if err := unix.Listen(h.socket, unix.SOMAXCONN); err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	listener, err := net.FileListener(file)
	return listener, errors.Annotate(err, "create listener")
}

func (h *reservedPort) release() {
	_ = unix.Close(h.socket)
}

func sockaddr(address netip.AddrPort) (family int, bound unix.Sockaddr) {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}
