package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"sync"

	"waxwingwall/io/quota"
)

const (
	// maxMessageBytes limits a call or an answer with its arguments or result. It is more
	// than a batch or a request of a caller takes.
	maxMessageBytes = 9 << 19

	// maxReceivedBytes limits the calls that all connections of a server are receiving
	// together, and likewise the answers of all Links.
	maxReceivedBytes = 16 << 20

	// keptBytes is the size of a message above which its memory counts as long as the
	// connection is open, since the decoder keeps it.
	keptBytes = 512 << 10

	// maxCallBytes limits the decoded calls in progress of all connections of a server. Each
	// counts callBytes for its goroutine, and decodedFactor times its size.
	maxCallBytes  = 24 << 20
	callBytes     = 4 << 10
	decodedFactor = 2

	// maxLengthBytes is the width of the length of a frame, in bytes.
	maxLengthBytes = 4
)

// errTooLong means that a call or an answer is longer than maxMessageBytes.
var errTooLong = errors.New("message too long")

// codec encodes calls and answers with gob for net/rpc, within bounds of what it receives.
type codec struct {
	conn     io.ReadWriteCloser
	in       *received
	decoder  *gob.Decoder
	encoder  *gob.Encoder
	buffered *bufio.Writer

	// done gives back the room of what is received.
	done func()
}

// newCodec returns a codec for a connection.
func newCodec(conn io.ReadWriteCloser, q *quota.Quota) *codec {
	holding, done := q.Open()
	in := &received{
		from:    bufio.NewReader(conn),
		holding: holding,
	}
	buffered := bufio.NewWriter(conn)
	return &codec{
		conn:     conn,
		in:       in,
		decoder:  gob.NewDecoder(in),
		encoder:  gob.NewEncoder(buffered),
		buffered: buffered,
		done:     done,
	}
}

// readHead decodes the head of a message.
func (c *codec) readHead(head any) error {
	c.in.begin()
	return c.decoder.Decode(head)
}

// write encodes a message. If that fails the connection is closed, as a part may be written.
func (c *codec) write(head, body any) error {
	err := c.encoder.Encode(head)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffered.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error {
	c.done()
	return c.conn.Close()
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
	calls *callsInProgress
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHead(r); err != nil {
		return err
	}
	c.calls.reading = r.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. After an error net/rpc answers the call with it, and
// reads on.
func (c serverCodec) ReadRequestBody(body any) error {
	if err := c.decoder.Decode(body); err != nil {
		return err
	}
	return c.calls.begin(callBytes + decodedFactor*c.in.size)
}

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.calls.end(r.Seq)
	return c.write(r, body)
}

// callsInProgress are the calls of a connection that are not yet answered.
type callsInProgress struct {
	quota *quota.Quota

	// reading is the number of the call that is being read; only the reader uses it.
	reading uint64

	// mu guards open, the functions that give back the room of the calls, by their numbers. A peer
	// may use a number more than once.
	mu   sync.Mutex
	open map[uint64][]func()
}

// newCalls returns the calls of a new connection, within bounds of those of all.
func newCalls(q *quota.Quota) *callsInProgress {
	return &callsInProgress{
		quota: q,
		open:  map[uint64][]func(){},
	}
}

// begin reserves room for the call that was read. It returns ErrBusy if there is none.
func (c *callsInProgress) begin(size int) error {
	holding, done := c.quota.Open()
	if !holding.Set(size) {
		done()
		return ErrBusy
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[c.reading] = append(c.open[c.reading], done)
	return nil
}

// end gives back the room of a call that is answered. It has none if it was refused.
func (c *callsInProgress) end(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.open[call]
	if len(open) == 0 {
		return
	}
	open[0]()
	if len(open) == 1 {
		delete(c.open, call)
		return
	}
	c.open[call] = open[1:]
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
}

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	return c.readHead(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error {
	return c.decoder.Decode(body)
}

// received reads messages within their bounds. A message consists of frames, each after its
// length. The decoder makes room for a frame by that length, so it gets only whole ones.
type received struct {
	from    *bufio.Reader
	holding *quota.Holding

	// frame is the unread rest of a frame, size the number of bytes of the message so far.
	// largest is the length of the largest frame. err is set for good once a message was not
	// within its bounds.
	frame         []byte
	size, largest int
	err           error
}

// begin begins the next message.
func (r *received) begin() {
	r.size = 0
	r.holding.Set(r.kept())
}

// kept returns the number of bytes that the decoder keeps beyond the end of a message.
func (r *received) kept() int {
	if r.largest <= keptBytes {
		return 0
	}
	return r.largest
}

// Read implements io.Reader.
func (r *received) Read(b []byte) (int, error) {
	if len(r.frame) == 0 && r.err == nil {
		r.frame, r.err = r.readFrame()
	}
	if r.err != nil {
		return 0, r.err
	}
	n := copy(b, r.frame)
	r.frame = r.frame[n:]
	return n, nil
}

// ReadByte implements io.ByteReader, which keeps the decoder from reading ahead.
func (r *received) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

// readFrame reads a frame with its length. What it takes counts twice, as the decoder copies it.
func (r *received) readFrame() ([]byte, error) {
	n, err := r.frameBytes()
	if err != nil {
		return nil, err
	}
	if r.size += n; r.size > maxMessageBytes {
		return nil, errTooLong
	}
	frame, err := r.holding.ReadAll(r.from, int64(n))
	if err != nil {
		return nil, err
	}
	if len(frame) < n {
		return nil, io.ErrUnexpectedEOF
	}
	r.largest = max(r.largest, n)
	if !r.holding.Set(2 * n) {
		return nil, quota.ErrFull
	}
	return frame, nil
}

// frameBytes returns the size of the next frame with its length: one byte up to 127, or the
// negated number of bytes that follow with it.
func (r *received) frameBytes() (int, error) {
	head, err := r.from.Peek(1)
	if err != nil {
		return 0, err
	}
	width := -int(int8(head[0]))
	if width <= 0 {
		return 1 + int(head[0]), nil
	}
	if width > maxLengthBytes {
		return 0, errTooLong
	}
	if head, err = r.from.Peek(1 + width); err != nil {
		return 0, err
	}
	n := 0
	for _, b := range head[1:] {
		n = n<<8 | int(b)
	}
	return 1 + width + n, nil
}
