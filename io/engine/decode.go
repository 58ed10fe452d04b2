package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/tmaxmax/go-sse"

	"waxwingwall"
	"waxwingwall/io/quota"
)

const (
	doneMarker    = "[DONE]"
	maxEventBytes = 1 << 20

	// maxChoices limits the choices of a chunk, of which one is requested. The shortest one has
	// two bytes, and takes 32 once it is decoded.
	maxChoices = 8

	// An event that is being read takes its bytes times readFactor, as the buffer doubles, and
	// one that is decoded times decodedFactor, in copies.
	readFactor    = 2
	decodedFactor = 8
)

var (
	// errTruncated means that the stream ended before its final chunk.
	errTruncated = errors.New("the stream ended before its final chunk")

	errTooManyChoices = errors.New("more choices than were requested")
)

// chunk is one event of a stream.
type chunk struct {
	ID      string  `json:"id"`
	Choices choices `json:"choices"`
	Usage   *usage  `json:"usage"`
}

// choices are at most maxChoices.
type choices []choice

// UnmarshalJSON implements json.Unmarshaler.
func (c *choices) UnmarshalJSON(b []byte) error {
	d := json.NewDecoder(bytes.NewReader(b))
	begin, err := d.Token()
	if begin == nil || err != nil {
		return err
	}
	if begin != json.Delim('[') {
		return fmt.Errorf("choices: %v is no list", begin)
	}
	for d.More() {
		if len(*c) == maxChoices {
			return errTooManyChoices
		}
		var one choice
		if err := d.Decode(&one); err != nil {
			return err
		}
		*c = append(*c, one)
	}
	return nil
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// usage counts the tokens so far.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// decoder decodes a stream of events into frames.
type decoder struct {
	attempt    string
	mismatched *atomic.Uint64

	// held bounds what is read and decoded; nil if only maxEventBytes does.
	held *quota.Holding

	tokens   int // forwarded so far
	end      End
	sawFinal bool // the final chunk has arrived
}

// run reads the stream up to its end marker and ignores what follows.
func (d *decoder) run(r io.Reader, frame func(Frame) error) (End, error) {
	// sse.Read ends without an error when the connection is cut; the eventReader
	// records that error.
	tail := &eventReader{
		Reader: r,
		held:   d.held,
	}
	config := &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
	}
	for ev, err := range sse.Read(tail, config) {
		if err != nil {
			return End{}, err
		}
		if ev.Data == "" {
			continue
		}
		if ev.Data == doneMarker {
			return d.finish()
		}
		if !d.held.Set(tail.kept() + decodedFactor*len(ev.Data)) {
			return End{}, quota.ErrFull
		}
		if err := d.handleEvent(ev.Data, frame); err != nil {
			return End{}, err
		}
		d.held.Set(tail.kept())
	}
	if tail.err != nil {
		return End{}, fmt.Errorf("%w: %w", errTruncated, tail.err)
	}
	return End{}, errTruncated
}

func (d *decoder) finish() (End, error) {
	if !d.sawFinal {
		return End{}, errTruncated
	}
	d.end.Tokens = d.tokens
	return d.end, nil
}

func (d *decoder) handleEvent(data string, frame func(Frame) error) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	if c.ID != d.attempt {
		d.mismatched.Add(1)
		return nil
	}
	var f Frame
	for _, ch := range c.Choices {
		if ch.Index != 0 {
			return fmt.Errorf("chunk: choice %d was not requested", ch.Index)
		}
		if d.sawFinal {
			return errors.New("chunk: content after the final chunk")
		}
		f.Text += ch.Delta.Content
		if ch.FinishReason == nil {
			continue
		}
		switch *ch.FinishReason {
		case waxwingwall.FinishStop, waxwingwall.FinishLength:
			d.sawFinal = true
			d.end.Reason = *ch.FinishReason
		default:
			return fmt.Errorf("chunk: finish reason %q", waxwingwall.Excerpt(*ch.FinishReason))
		}
	}
	f.Tokens = d.countTokens(c.Usage, f.Text)
	if f == (Frame{}) {
		return nil
	}
	d.tokens += f.Tokens
	return frame(f)
}

// countTokens returns the number of tokens in a chunk. An engine that does not
// report usage sends one token per chunk.
func (d *decoder) countTokens(u *usage, text string) int {
	if u != nil {
		d.end.PromptTokens = u.PromptTokens
		return max(0, u.CompletionTokens-d.tokens)
	}
	if text != "" {
		return 1
	}
	return 0
}

// eventReader records the error that ended its reader, unless it is io.EOF, and counts what is
// kept of a stream.
type eventReader struct {
	io.Reader
	held *quota.Holding
	err  error

	// pending is the number of bytes since the last empty line, of which line are those of the
	// last line, largest the highest value of pending so far: the buffer stays as large.
	pending, line, largest int

	// returned is set after a "\r", which a "\n" may follow in the same end of a line.
	returned bool
}

// Read implements io.Reader.
func (t *eventReader) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		t.err = err
	}
	t.count(b[:n])
	if !t.held.Set(t.kept()) {
		t.err = quota.ErrFull
		return 0, t.err
	}
	return n, err
}

// count counts bytes that are read. The end of a line may be "\n", "\r" or "\r\n".
func (t *eventReader) count(b []byte) {
	for _, c := range b {
		t.pending++
		t.largest = max(t.largest, t.pending)
		switch {
		case c != '\n' && c != '\r':
			t.line++
		case c == '\n' && t.returned:
		case t.line == 0:
			t.pending = 0
		default:
			t.line = 0
		}
		t.returned = c == '\r'
	}
}

// kept returns the size of the buffer, at the most.
func (t *eventReader) kept() int {
	return readFactor * t.largest
}
