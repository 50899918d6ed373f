package standin

import (
	"net"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// heldPort is a socket that is bound and does not listen: connecting to it is
// refused, and no other process can take the port in the meantime.
type heldPort struct {
	socket int
}

func holdPort(address netip.AddrPort) (*heldPort, error) {
	family, bound := socketAddress(address)
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Annotate(err, "socket")
	}
	// Without this option, connections that are still closing prevent binding.
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(socket, bound)
	}
	if err != nil {
		_ = unix.Close(socket)
		return nil, errors.Annotatef(err, "hold %s", address)
	}
	return &heldPort{socket}, nil
}

// listen starts to listen on the held port. The heldPort must not be used afterwards.
func (h *heldPort) listen() (net.Listener, error) {
	file := os.NewFile(uintptr(h.socket), "held port")
	defer func() { _ = file.Close() }() // FileListener duplicates the socket
	if err := unix.Listen(h.socket, unix.SOMAXCONN); err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	listener, err := net.FileListener(file)
	return listener, errors.Annotate(err, "listener")
}

func (h *heldPort) release() {
	_ = unix.Close(h.socket)
}

func socketAddress(address netip.AddrPort) (family int, bound unix.Sockaddr) {
	if ip := address.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}
