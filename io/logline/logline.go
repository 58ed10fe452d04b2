// Package logline writes log lines without blocking the caller.
//
// Lines can be lost at two points. A Sampler limits the number of lines before
// they are written: once a second exceeds the limit, it keeps the lines of a sample
// of the requests only, selected by a hash of their IDs, so that the lines kept for
// a request are complete. Lines about refusals and failures are kept regardless of
// the sample, up to urgentFactor times the limit. A Writer
// passes lines to its own goroutine through a bounded queue: if the log's reader
// is slow, the queue fills up, and further lines are dropped. The number of
// omitted lines is a result of Keep, which the relay logs as log_lines_left_out;
// the Writer logs the number of dropped lines as log_lines_dropped once there is
// room.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 4096

	// maxLineBytes is the maximum length of a line; longer lines are truncated.
	maxLineBytes = 4 << 10

	// closeTimeout limits each of the two waits of close: for room in the queue, and
	// until the queued lines are written.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Create it with NewWriter.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out, and a function that flushes the queue
// within a time limit.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{
		out:   out,
		queue: make(chan []byte, queueLines),
		done:  make(chan struct{}),
	}
	go w.writeQueued()
	return w, w.close
}

// Write implements io.Writer. It takes one line and always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	select {
	case w.queue <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped, because the queue was full, since
// the count was last logged.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// writeQueued writes the queued lines to out.
func (w *Writer) writeQueued() {
	defer close(w.done)
	for line := range w.queue {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			w.print(fmt.Appendf(nil, `{"level":"warning","msg":"log_lines_dropped","lines":%d,"cause":"slow reader"}`+"\n", n))
		}
		w.print(line)
	}
}

// print writes a line. A failure can't be reported anywhere.
func (w *Writer) print(line []byte) {
	_, _ = w.out.Write(line)
}

// close stops the goroutine once it has written the lines queued so far.
func (w *Writer) close() {
	w.once.Do(func() {
		select {
		case w.queue <- nil:
		case <-time.After(closeTimeout):
			return
		}
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
		}
	})
}

// Sampler limits the number of lines per second. The zero value keeps
// DefaultLinesPerSecond.
type Sampler struct {
	// LinesPerSecond is the limit; zero selects DefaultLinesPerSecond.
	LinesPerSecond int

	// second is the current second in Unix time; lines counts the lines kept in it.
	second int64
	lines  int

	// The sample is one request in 1<<shift.
	shift uint

	// omittedLines counts the lines not kept since Keep last returned the count.
	omittedLines int
}

// DefaultLinesPerSecond is the default limit of a Sampler.
const DefaultLinesPerSecond = 400

// maxShift is the maximum of Sampler.shift: the sample is at least one request in
// 1024.
const maxShift = 10

// urgentFactor is the ratio of the limit for refusals and failures to
// LinesPerSecond.
const urgentFactor = 2

// Keep reports whether to write a line. Per second, lines without a request are
// kept until LinesPerSecond lines have been kept; urgent lines, and the lines of
// requests in the sample, until urgentFactor times as many have been kept. Other
// lines of requests are not kept. The result omitted is the number of lines not
// kept since it was last returned; it is nonzero only on the first call of a
// second.
func (s *Sampler) Keep(now time.Time, request string, urgent bool) (keep bool, omitted int) {
	limit := s.LinesPerSecond
	if limit == 0 {
		limit = DefaultLinesPerSecond
	}
	if second := now.Unix(); second != s.second {
		s.startSecond(second, limit)
		omitted = s.omittedLines
		s.omittedLines = 0
	}
	s.lines++
	switch {
	case urgent:
		keep = s.lines <= urgentFactor*limit
	case request == "":
		keep = s.lines <= limit
	default:
		keep = xxhash.Sum64String(request)&(1<<s.shift-1) == 0 && s.lines <= urgentFactor*limit
	}
	if !keep {
		s.omittedLines++
		s.lines--
	}
	return keep, omitted
}

// startSecond begins a new second: it halves the sample if more than limit lines
// were kept in the last one, and doubles it if there were fewer than limit/2 lines
// in all.
func (s *Sampler) startSecond(second int64, limit int) {
	total := s.lines + s.omittedLines
	switch {
	case s.lines > limit && s.shift < maxShift:
		s.shift++
	case s.shift > 0 && total < limit/2:
		s.shift--
	}
	s.second = second
	s.lines = 0
}
