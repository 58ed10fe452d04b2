package tcp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestReadAfterFailure guards against a reader that drops the failure which a read has returned, as
// bufio.Reader.ReadLine does within a line, and then sees an orderly end.
func TestReadAfterFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for name, read := range map[string]func(c net.Conn) error{
		"read": func(c net.Conn) error {
			_, err := io.ReadFull(c, make([]byte, len("line")+1))
			return err
		},
		"line": func(c net.Conn) error {
			line, _, err := bufio.NewReader(c).ReadLine()
			if string(line) != "line" || err != nil {
				t.Errorf("%q, %v", line, err)
			}
			return syscall.ECONNRESET
		},
	} {
		nc, err := Dialer().DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(far, "line"); err != nil {
			t.Fatal(err)
		}
		Reset(far)
		c := NewConn(nc)
		if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if err := read(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %v", name, err)
		}
		for range 2 {
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("after a %s: %v", name, err)
			}
		}
		_ = c.Close()
	}
}
