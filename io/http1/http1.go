// Package http1 refuses heads of answers that HTTP/1.1 doesn't know and net/http lets pass.
//
// net/http takes a status of three characters that strconv reads as a number, such as "000", "+20" or
// "999", drops spaces before it, and takes any status below 200 as that of an interim answer: what
// follows such a head, which may be its body, is then read as the head of the next answer. Here a
// status has three digits. Its class is that of a final answer, 200 to 599, or it is an interim one that
// a client may get without having asked for anything, which has no body. An answer of another class
// is none: what its sender meant is unknown.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// MaxInterim limits the interim answers before a final one.
	MaxInterim = 8

	// protocol begins a status line. versionBytes is the length of all in front of the status, digits
	// that of a status.
	protocol     = "HTTP/"
	versionBytes = len(protocol + "1.1")
	digits       = 3

	// maxNameBytes is the longest name of a field that an interim answer can't have, with its colon.
	maxNameBytes = len("transfer-encoding:")
)

// The errors of heads that are none of an answer.
var (
	// ErrStatus means that a status is not one of HTTP, or of an upgrade that nobody asked for.
	ErrStatus = errors.New("status that is none of HTTP")

	// ErrInterim means that an interim answer has a body, or that there are too many.
	ErrInterim = errors.New("interim answer with a body, or too many")
)

// IsFinal reports whether a status is one of a final answer.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status < 600
}

// isInterim reports whether a status is one of an interim answer to a request that asks for none.
func isInterim(status int) bool {
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
		return true
	}
	return false
}

// CheckStatus waits for the status at the start of an answer and returns ErrStatus unless it is one of
// HTTP. It consumes nothing but an error of the reader. Other faults of the line are left to net/http,
// which refuses them.
func CheckStatus(r *bufio.Reader) error {
	var line statusLine
	for n := 1; ; n++ {
		b, err := r.Peek(n)
		if errors.Is(err, io.EOF) {
			return trace.Wrap(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if line.feed(b[n-1]); line.ended {
			return line.err()
		}
	}
}

// CheckInterim returns ErrInterim unless an answer can be an interim one; it is the count-th before the
// final one.
func CheckInterim(res *http.Response, count int) error {
	if count > MaxInterim || !res.ProtoAtLeast(1, 1) || len(res.TransferEncoding) > 0 || res.Header["Content-Length"] != nil {
		return trace.Wrap(ErrInterim, "status %d", res.StatusCode)
	}
	return nil
}

// statusLine reads the version and the status of an answer.
type statusLine struct {
	// read is the number of bytes so far, and status the value of the digits among them.
	read, status int

	// ended is set once no more bytes are needed; invalid is set if the status is none.
	ended, invalid bool
}

// feed takes the next byte.
func (l *statusLine) feed(b byte) {
	i := l.read
	l.read++
	switch {
	case i < len(protocol):
		l.ended = b != protocol[i]
	case i < versionBytes:
		l.ended = b == '\n'
	case i == versionBytes:
		l.ended = b != ' '
	case i <= versionBytes+digits:
		l.invalid = b < '0' || b > '9'
		l.ended = l.invalid
		l.status = 10*l.status + int(b) - '0'
	default:
		l.ended = true
		l.invalid = b != ' ' && b != '\r' && b != '\n' || !IsFinal(l.status) && !isInterim(l.status)
	}
}

// err returns ErrStatus if the status is none.
func (l *statusLine) err() error {
	if l.invalid {
		return trace.Wrap(ErrStatus)
	}
	return nil
}

// Conn is a connection of an http.Transport that fails to be read at the head of an answer that is none.
// What begins otherwise, as TLS does, is passed on. Begin is called before each request.
type Conn struct {
	net.Conn

	// mu guards the fields below. line is that of the current answer; passing is set once there is
	// nothing to check until the next request, interim is set within the rest of an interim head.
	mu      sync.Mutex
	line    statusLine
	passing bool
	interim bool

	// count is the number of interim answers to the request, name the start of the current line of
	// one in lower case.
	count int
	name  []byte

	// err is set for good once a head was refused.
	err error
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// Begin begins the next request, unless bytes came before it that are checked already.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.passing {
		return
	}
	c.passing = false
	c.line = statusLine{}
	c.count = 0
}

// Read implements net.Conn. The start of a refused head is returned, as net/http may repeat a request
// to which nothing was answered.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < n && !c.passing; i++ {
		if c.err = c.feed(b[i]); c.err != nil {
			return i, c.err
		}
	}
	return n, err
}

// feed checks the next byte of the heads before the body.
func (c *Conn) feed(b byte) error {
	if c.interim {
		return c.feedInterim(b)
	}
	if c.line.feed(b); !c.line.ended {
		return nil
	}
	if err := c.line.err(); err != nil {
		return err
	}
	if !isInterim(c.line.status) {
		c.passing = true
		return nil
	}
	if c.count++; c.count > MaxInterim {
		return trace.Wrap(ErrInterim)
	}
	c.interim = true
	// The rest of the status line is no empty line, even if nothing follows the status.
	c.name = append(c.name[:0], '-')
	return c.feedInterim(b)
}

// feedInterim checks the next byte of the rest of an interim head.
func (c *Conn) feedInterim(b byte) error {
	switch {
	case b == '\r':
	case b != '\n':
		if len(c.name) < maxNameBytes {
			c.name = append(c.name, bytes.ToLower([]byte{b})...)
		}
		if s := string(c.name); s == "content-length:" || s == "transfer-encoding:" {
			return trace.Wrap(ErrInterim)
		}
	case len(c.name) > 0:
		c.name = c.name[:0]
	default:
		c.interim = false
		c.line = statusLine{}
	}
	return nil
}
