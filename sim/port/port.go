// Package port keeps local ports for servers that stand in for others and restart.
package port

import (
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Hold binds a TCP address, with a free port if its port is zero, and returns what it has bound
// and a function that releases it. Until then nobody gets the port who asks for any free one,
// and connections to it are refused but for those to a listener of net.Listen there.
func Hold(addr netip.AddrPort) (netip.AddrPort, func(), error) {
	family := unix.AF_INET6
	if addr.Addr().Is4() {
		family = unix.AF_INET
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return netip.AddrPort{}, nil, trace.Wrap(err)
	}
	release := sync.OnceFunc(func() { _ = unix.Close(fd) })
	bound, err := bind(fd, addr)
	if err != nil {
		release()
		return netip.AddrPort{}, nil, trace.Wrap(err)
	}
	return bound, release, nil
}

// bind binds a socket so that net.Listen can bind the same address, and returns its address.
func bind(fd int, addr netip.AddrPort) (netip.AddrPort, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(fd, sockaddr(addr)); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	number := addr.Port()
	switch b := bound.(type) {
	case *unix.SockaddrInet4:
		number = uint16(b.Port)
	case *unix.SockaddrInet6:
		number = uint16(b.Port)
	}
	return netip.AddrPortFrom(addr.Addr(), number), nil
}

func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{
			Port: int(addr.Port()),
			Addr: addr.Addr().As4(),
		}
	}
	return &unix.SockaddrInet6{
		Port: int(addr.Port()),
		Addr: addr.Addr().As16(),
	}
}
