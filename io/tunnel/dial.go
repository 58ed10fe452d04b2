package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/io/http1"
	"waxwingwall/io/tcp"
)

// defaultTimeout limits a Dial without a timeout: one for the way to the peer and one for
// the peer's own.
const defaultTimeout = 2 * tcp.DialTimeout

// The errors of Dial, unless its context ended. Nothing reached the endpoint.
var (
	// ErrPeer means that the peer cannot be reached, takes no tunnel, or does not answer
	// as it should.
	ErrPeer = errors.New("peer opens no tunnel")

	// ErrEndpoint means that the peer cannot reach the endpoint.
	ErrEndpoint = errors.New("endpoint unreachable for the peer")
)

// Dial makes a connection to an endpoint through the peer whose Server listens on via. The
// timeout limits the whole dial; zero selects the default. The connection is a Conn, or a
// tcp.Conn if the peer marks no ends; below either is one of a tcp.WatchedDialer.
func Dial(ctx context.Context, via, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add(timeout)
	dialer := tcp.Dialer()
	dialer.Timeout = timeout
	conn, err := dialer.DialContext(ctx, "tcp", via.String())
	if err != nil {
		return nil, dialError(ctx, ErrPeer, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	framed, err := connect(conn, to, deadline)
	if !stop() {
		_ = conn.Close()
		return nil, trace.Wrap(context.Cause(ctx))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if framed {
		return newConn(tcp.NewConn(conn)), nil
	}
	return tcp.NewConn(conn), nil
}

// connect asks the peer at the other end of conn to connect to an endpoint, and reports whether
// its frames follow.
func connect(conn net.Conn, to netip.AddrPort, deadline time.Time) (framed bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, trace.Wrap(ErrPeer, "%v", err)
	}
	if err := writeConnect(conn, to, time.Until(deadline)); err != nil {
		return false, trace.Wrap(ErrPeer, "%v", err)
	}
	resp, err := readAnswer(conn)
	if err != nil {
		return false, trace.Wrap(ErrPeer, "%v", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return false, trace.Wrap(ErrEndpoint, "%v: status %d", to, resp.StatusCode)
	default:
		return false, trace.Wrap(ErrPeer, "status %d", resp.StatusCode)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return false, trace.Wrap(ErrPeer, "%v", err)
	}
	switch version := resp.Header.Get(framesHeader); version {
	case "":
		return false, nil
	case framesVersion:
		return true, nil
	default:
		return false, trace.Wrap(ErrPeer, "frames of version %q", version)
	}
}

// writeConnect sends the request. The peer gets a part of the remaining time, so that its
// answer arrives within all of it.
func writeConnect(conn net.Conn, to netip.AddrPort, remaining time.Duration) error {
	timeout := max(remaining*3/4, time.Millisecond)
	_, err := fmt.Fprintf(conn, "CONNECT %v HTTP/1.1\r\nHost: %v\r\n%s: %d\r\n%s: %s\r\n\r\n",
		to, to, timeoutHeader, timeout.Milliseconds(), framesHeader, framesVersion)
	return err
}

// readAnswer reads the head of the answer and nothing after it.
func readAnswer(conn net.Conn) (*http.Response, error) {
	head := bufio.NewReader(&byteReader{
		from: io.LimitReader(conn, maxHeadBytes),
	})
	if err := http1.CheckStatus(head); err != nil {
		return nil, err
	}
	return http.ReadResponse(head, &http.Request{
		Method: http.MethodConnect,
	})
}

// byteReader reads one byte at a time, so that a buffer over it takes no more than needed.
type byteReader struct {
	from io.Reader
}

// Read implements io.Reader.
func (r *byteReader) Read(b []byte) (int, error) {
	return r.from.Read(b[:min(len(b), 1)])
}

// dialError wraps a failed dial; if the context ended, it names neither side.
func dialError(ctx context.Context, kind, err error) error {
	if ctx.Err() != nil {
		return trace.Wrap(context.Cause(ctx))
	}
	return trace.Wrap(kind, "%v", err)
}
