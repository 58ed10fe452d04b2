package tcp

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens at an address. What a peer may send before it is read is limited to about
// window bytes on each connection; 0 leaves the choice to the kernel.
func Listen(ctx context.Context, address string, window int) (net.Listener, error) {
	var lc net.ListenConfig
	if window > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error { return setWindow(raw, window) }
	}
	return lc.Listen(ctx, "tcp", address)
}

// setWindow limits the receive buffer; accepted connections inherit it. The kernel takes twice
// the size, of which it keeps half for itself.
func setWindow(raw syscall.RawConn, window int) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
	}); cerr != nil {
		return cerr
	}
	return err
}
