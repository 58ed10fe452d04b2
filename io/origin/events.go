package origin

import (
	"bytes"
)

// maxEventBytes bounds the bytes of one event.
const maxEventBytes = 1 << 20

// EventSplitter cuts a stream of server-sent events into whole events. The zero value
// is at the start of a stream.
type EventSplitter struct {
	// Count is how many whole events were seen, and Last the ID of the last one
	// that had an ID.
	Count  int
	LastID string

	partial []byte
}

// Feed takes in bytes and returns those that complete events, in order; the
// rest is kept until more comes. It reports false for an event that is too
// long.
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

// DiscardPartial forgets the event that the stream broke off in.
func (s *EventSplitter) DiscardPartial() {
	s.partial = nil
}

// eventEnd returns the length of the first event, its empty line included, or
// -1 if it isn't whole.
func eventEnd(b []byte) int {
	end := -1
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\n\r\n")} {
		if i := bytes.Index(b, sep); i >= 0 && (end < 0 || i+len(sep) < end) {
			end = i + len(sep)
		}
	}
	return end
}

// recordEvent counts an event and notes its ID.
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
