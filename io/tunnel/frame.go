package tunnel

import (
	"encoding/binary"
	"errors"
	"io"

	"waxwingwall/io/tcp"
)

const (
	// framesHeader names the header with which a router asks for frames and a peer says that
	// it sends them; framesVersion is its value.
	framesHeader  = "Waxwing-Frames"
	framesVersion = "1"

	// headBytes is the size of the head of a frame.
	headBytes = 2

	// maxFrameBytes limits the bytes of the endpoint in a frame.
	maxFrameBytes = 16 << 10

	// endMark takes the place of a length once the endpoint has ended its side in order.
	endMark = 0xffff
)

// errFrame means that the peer sent something that is no frame.
var errFrame = errors.New("malformed frame from the peer")

// endFrame is the mark of the end as it is sent.
var endFrame = binary.BigEndian.AppendUint16(nil, endMark)

// putHead writes the head of a frame before its bytes. The frame has room for a head and is
// no longer than maxFrameBytes after it.
func putHead(frame []byte) {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-headBytes))
}

// Conn is a connection through a peer that marks the end of the endpoint's side. Only one
// goroutine reads at a time.
type Conn struct {
	*tcp.Conn

	// head holds the first filled bytes of the head of a frame; it stays full after the mark
	// of the end and after what is no head. rest is the number of bytes that are left of the
	// frame after its head.
	head   [headBytes]byte
	filled int
	rest   int
}

// newConn returns a Conn over a connection on which the peer's frames follow.
func newConn(conn *tcp.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Read implements net.Conn. Its end is io.EOF only if the endpoint ended its side in order, and
// io.ErrUnexpectedEOF if only the tunnel ended.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return c.Conn.Read(b)
	}
	if c.rest == 0 {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.rest)])
	c.rest -= n
	return n, unexpected(err)
}

// readHead reads what is left of the head of a frame.
func (c *Conn) readHead() error {
	for c.filled < headBytes {
		n, err := c.Conn.Read(c.head[c.filled:])
		c.filled += n
		if err != nil {
			return unexpected(err)
		}
	}
	length := int(binary.BigEndian.Uint16(c.head[:]))
	if length == endMark {
		return io.EOF
	}
	if length == 0 || length > maxFrameBytes {
		return errFrame
	}
	c.filled = 0
	c.rest = length
	return nil
}

// unexpected returns the error of a read, in which io.EOF is not the endpoint's end.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// BetweenFrames reports whether the next byte that arrives begins a frame: no frame was read in
// part, and the endpoint has not ended its side. It must not be called during a Read.
func (c *Conn) BetweenFrames() bool {
	return c.filled == 0 && c.rest == 0
}
