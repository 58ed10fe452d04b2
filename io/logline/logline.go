// Package logline writes log lines without ever holding up whoever logs.
//
// A Writer passes lines to a goroutine of its own over a bounded queue. If the
// reader of the log is slow the queue fills, and lines are dropped and counted;
// the count is written as a line once there is room. A Sampler bounds how many
// lines there are in the first place: while there are too many, it keeps the
// lines of some requests only, chosen by a hash of their IDs, so that what is
// kept of a request is complete. Lines that tell of a refusal or a failure are
// kept longer than others.
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
	// queueLines is how many lines may wait for the reader.
	queueLines = 4096

	// maxLine bounds the bytes of one line; longer ones are cut.
	maxLine = 4 << 10

	// closeTimeout bounds how long the clean-up function waits for the reader.
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

// NewWriter returns a Writer in front of out, and a function that writes what is
// left, for a short time.
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
	kept := append([]byte(nil), line[:min(len(line), maxLine)]...)
	select {
	case w.queue <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since this was last written to the
// log.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// writeQueued passes the lines on.
func (w *Writer) writeQueued() {
	defer close(w.done)
	for line := range w.queue {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"log_lines_dropped","lines":%d,"cause":"slow reader"}`+"\n", n))
		}
		w.writeLine(line)
	}
}

// writeLine writes a line. There is nowhere to tell of a failure.
func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line)
}

// close ends the goroutine after what is queued now.
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

// Sampler bounds the lines of a second. Its zero value keeps DefaultLinesPerSecond.
type Sampler struct {
	// LinesPerSecond is how many lines a second are kept; zero stands for DefaultLinesPerSecond.
	LinesPerSecond int

	second  int64
	lines   int
	shift   uint
	skipped int
}

// DefaultLinesPerSecond is how many lines a second a Sampler keeps.
const DefaultLinesPerSecond = 400

// maxShift bounds the sampling: one request in 1024.
const maxShift = 10

// urgentFactor is how many times the bound lines of refusals and failures may
// reach.
const urgentFactor = 2

// Keep reports whether to write a line. A line of a request is kept as long as
// the request is in the sample; urgent ones are kept in any case, up to a bound
// of their own. Left is the number of lines left out in the seconds before; it
// is told once.
func (s *Sampler) Keep(now time.Time, request string, urgent bool) (keep bool, skipped int) {
	bound := s.LinesPerSecond
	if bound == 0 {
		bound = DefaultLinesPerSecond
	}
	if second := now.Unix(); second != s.second {
		s.startSecond(second, bound)
		skipped = s.skipped
		s.skipped = 0
	}
	s.lines++
	switch {
	case urgent:
		keep = s.lines <= urgentFactor*bound
	case request == "":
		keep = s.lines <= bound
	default:
		keep = xxhash.Sum64String(request)&(1<<s.shift-1) == 0 && s.lines <= urgentFactor*bound
	}
	if !keep {
		s.skipped++
		s.lines--
	}
	return keep, skipped
}

// startSecond begins a second: the sample is halved while there is too much, and
// doubled while there is little.
func (s *Sampler) startSecond(second int64, bound int) {
	total := s.lines + s.skipped
	switch {
	case s.lines > bound && s.shift < maxShift:
		s.shift++
	case s.shift > 0 && total < bound/2:
		s.shift--
	}
	s.second = second
	s.lines = 0
}
