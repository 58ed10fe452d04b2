package origin

import (
	"bytes"
	"errors"
	"strconv"

	"waxwingwall/io/quota"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20

	// minSteps is the number of IDs without a gap after which they are taken to count
	// the events.
	minSteps = 2

	// separatorBytes is the longest end of an event in bytes.
	separatorBytes = 4
)

// ErrEventTooLong is the error of EventSplitter.Feed for an event that is too long.
var ErrEventTooLong = errors.New("event too long")

// EventSplitter splits a stream of server-sent events into complete events. The
// zero value is ready for the start of a stream.
type EventSplitter struct {
	// Count is the number of complete events so far, LastID the ID of the last one
	// that had an ID.
	Count  int
	LastID string

	// OutOfOrder is set once an event came that does not follow the last one; neither
	// it nor any event after it is returned.
	OutOfOrder bool

	// Holding bounds what is buffered; nil if only maxEventBytes does.
	Holding *quota.Holding

	// partial is the incomplete event. Its first searched bytes do not have its end.
	partial  []byte
	searched int
	order    eventOrder
}

// Feed appends b to the stream and returns the events that are complete now, in order; it
// buffers the rest. The events are valid until Release. It returns ErrEventTooLong, or
// quota.ErrFull if there is no room for the rest.
func (s *EventSplitter) Feed(b []byte) ([]byte, error) {
	if s.OutOfOrder {
		return nil, nil
	}
	buffer, err := s.Holding.Append(s.partial, b, maxEventBytes+len(b))
	if err != nil {
		return nil, err
	}
	end := 0
	for {
		n := eventEnd(buffer[end:], s.searched)
		s.searched = 0
		if n < 0 {
			break
		}
		if !s.recordEvent(buffer[end : end+n]) {
			s.OutOfOrder = true
			buffer = buffer[:end]
			break
		}
		end += n
	}
	if len(buffer)-end > maxEventBytes {
		return nil, ErrEventTooLong
	}
	s.partial = buffer
	if end > 0 {
		s.partial = bytes.Clone(buffer[end:])
	}
	s.searched = len(s.partial)
	return buffer[:end:end], nil
}

// Release gives back the room of the events that Feed returned.
func (s *EventSplitter) Release() {
	s.Holding.Set(cap(s.partial))
}

// Pending reports whether the stream is in the middle of an event.
func (s *EventSplitter) Pending() bool {
	return len(s.partial) > 0
}

// Restart prepares for a stream that goes on after the event with an ID, or from its
// start if the ID is empty. It discards the incomplete event at the end of an
// interrupted stream.
func (s *EventSplitter) Restart(after string) {
	s.partial = nil
	s.searched = 0
	s.Release()
	s.OutOfOrder = false
	s.order.restart(after)
}

// eventEnd returns the length of the first event including its empty line, or
// -1 if it is incomplete. The first searched bytes do not have its end.
func eventEnd(b []byte, searched int) int {
	from := max(searched-separatorBytes+1, 0)
	end := -1
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")} {
		if i := bytes.Index(b[from:], sep); i >= 0 && (end < 0 || from+i+len(sep) < end) {
			end = from + i + len(sep)
		}
	}
	return end
}

// recordEvent counts an event and records its ID. It returns false if the event does
// not follow the last one.
func (s *EventSplitter) recordEvent(event []byte) bool {
	id, hasID, counted := "", false, false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, hasID, counted = string(value), true, true
		case "data":
			counted = true
		}
	}
	if hasID {
		if !s.order.accept(id) {
			return false
		}
		s.LastID = id
	}
	if counted {
		s.Count++
	}
	return true
}

// eventOrder checks that IDs that are numbers increase, and that a stream goes on without
// a gap where it was interrupted if its IDs count the events.
type eventOrder struct {
	// last is the last ID; known is set if it is a number.
	last  uint64
	known bool

	// steps is the number of IDs that were one more than the one before; gaps is set once
	// there was another one.
	steps int
	gaps  bool

	// resumed is set until the first ID after an interruption.
	resumed bool
}

// restart prepares for the IDs that follow one; it is empty at the start of a stream.
func (o *eventOrder) restart(after string) {
	o.resumed = true
	if o.known {
		return
	}
	if n, err := strconv.ParseUint(after, 10, 64); err == nil {
		o.last = n
		o.known = true
	}
}

// accept records an ID and returns false if it does not follow the last one.
func (o *eventOrder) accept(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		o.known = false
		o.gaps = true
		return true
	}
	next := n == 1
	if o.known {
		next = n-o.last == 1
		if n <= o.last || o.resumed && !next && !o.gaps && o.steps >= minSteps {
			return false
		}
	}
	if next {
		o.steps++
	} else {
		o.gaps = true
	}
	o.last = n
	o.known = true
	o.resumed = false
	return true
}
