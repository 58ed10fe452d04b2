package origin

import (
	"bytes"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// EventSplitter splits a stream of server-sent events into complete events. The
// zero value is ready for the start of a stream.
type EventSplitter struct {
	// Count is the number of complete events so far, LastID the ID of the last one
	// that had an ID.
	Count  int
	LastID string

	partial []byte
}

// Feed appends b to the stream and returns the events that are complete now, in
// order; it buffers the rest. It returns false if an event is too long.
func (s *EventSplitter) Feed(b []byte) ([]byte, bool) {
	s.partial = append(s.partial, b...)
	end := 0
	for {
		n := eventEnd(s.partial[end:])
		if n < 0 {
			break
		}
		s.recordEvent(s.partial[end : end+n])
		end += n
	}
	if len(s.partial)-end > maxEventBytes {
		return nil, false
	}
	whole := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	return whole, true
}

// Pending reports whether the stream is in the middle of an event.
func (s *EventSplitter) Pending() bool {
	return len(s.partial) > 0
}

// DiscardPartial discards the incomplete event at the end of an interrupted
// stream.
func (s *EventSplitter) DiscardPartial() {
	s.partial = nil
}

// eventEnd returns the length of the first event including its empty line, or
// -1 if it is incomplete.
func eventEnd(b []byte) int {
	end := -1
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")} {
		if i := bytes.Index(b, sep); i >= 0 && (end < 0 || i+len(sep) < end) {
			end = i + len(sep)
		}
	}
	return end
}

// recordEvent counts an event and records its ID.
func (s *EventSplitter) recordEvent(event []byte) {
	counted := false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			s.LastID = string(value)
			counted = true
		case "data":
			counted = true
		}
	}
	if counted {
		s.Count++
	}
}
