package router

import (
	"context"
	"sync"
	"time"

	"waxwingwall"
)

// nextTimeout is the longest time that Next waits for output before it returns
// none.
const nextTimeout = 2 * time.Second

// run is the output of one request at its owner. Frames are only appended, so
// that any number of readers can read concurrently from their own offsets.
type run struct {
	request *waxwingwall.Request
	arrived time.Time

	// mu guards the fields below. changed is closed and replaced on every
	// change.
	mu      sync.Mutex
	changed chan struct{}
	frames  []waxwingwall.Frame
	end     *waxwingwall.End

	// version is the version of the endpoints that produced the frames.
	version string

	// attempt is the number of the current attempt; frames of any other attempt
	// are dropped.
	attempt int

	// limit is the maximum number of frames that the reservation covers.
	limit int

	// stop cancels the current attempt; nil if there is none.
	stop context.CancelFunc

	// readers is the number of callers that are reading; lastRead is the time
	// of the last read.
	readers  int
	lastRead time.Time
}

func newRun(r *waxwingwall.Request, now time.Time) *run {
	return &run{
		request:  r,
		arrived:  now,
		changed:  make(chan struct{}),
		frames:   append([]waxwingwall.Frame(nil), r.Prior...),
		version:  r.PriorVersion,
		limit:    int(r.MaxOutput),
		lastRead: now,
	}
}

// notifyReaders wakes the waiting readers. The caller holds mu.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// beginAttempt sets the current attempt and returns the number of frames so
// far. It returns false, with their version, if they are of another version than the
// attempt's endpoint; the attempt must not run then.
func (r *run) beginAttempt(attempt int, version string, stop context.CancelFunc) (frames int, of string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.frames) > 0 && r.version != version {
		return len(r.frames), r.version, false
	}
	r.version = version
	r.attempt = attempt
	r.stop = stop
	return len(r.frames), version, true
}

// addition is what became of a frame.
type addition int

const (
	// refused means that the attempt is no longer the current one.
	refused addition = iota

	// beyondLimit means that the output is complete without the frame.
	beyondLimit

	// added means that the frame was appended.
	added
)

// add appends a frame of an attempt and returns the number of frames. The attempt may
// continue only if the frame was added.
func (r *run) add(attempt int, f waxwingwall.Frame) (int, addition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || r.end != nil {
		return len(r.frames), refused
	}
	if len(r.frames) >= r.limit {
		return len(r.frames), beyondLimit
	}
	r.frames = append(r.frames, f)
	r.notifyReaders()
	return len(r.frames), added
}

// cancel cancels an attempt; its later frames are dropped.
func (r *run) cancel(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || r.stop == nil {
		return
	}
	r.stop()
	r.stop = nil
	r.attempt = 0
}

// finish closes the output; only the first end counts.
func (r *run) finish(e waxwingwall.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	r.end = &e
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	r.notifyReaders()
}

// count returns the number of frames so far.
func (r *run) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.frames)
}

// next returns the frames from offset on. It waits up to nextTimeout for
// output.
func (r *run) next(ctx context.Context, offset int) waxwingwall.Frames {
	r.addReader()
	defer r.removeReader()
	timer := time.NewTimer(nextTimeout)
	defer timer.Stop()
	for {
		f, changed := r.read(offset)
		if len(f.Frames) > 0 || f.End != nil {
			return f
		}
		select {
		case <-changed:
		case <-timer.C:
			return f
		case <-ctx.Done():
			return f
		}
	}
}

// read returns the frames from offset on and a channel that is closed on the
// next change.
func (r *run) read(offset int) (waxwingwall.Frames, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := waxwingwall.Frames{
		Version: r.version,
		End:     r.end,
	}
	if offset < len(r.frames) {
		f.Frames = r.frames[offset:len(r.frames):len(r.frames)]
	}
	return f, r.changed
}

// markRead records now as the time of the last read.
func (r *run) markRead(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = now
}

// addReader counts a caller that starts reading.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// removeReader removes a caller that stops reading.
func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastRead = time.Now()
}

// abandoned reports whether the run is unfinished and has had no reader for
// longer than grace.
func (r *run) abandoned(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end == nil && r.readers == 0 && now.Sub(r.lastRead) > grace
}

// expired reports whether the output has ended and was last read more than
// retention ago.
func (r *run) expired(now time.Time, retention time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil && r.readers == 0 && now.Sub(r.lastRead) > retention
}

// replaceable reports whether a request with this identity goes to the node
// instead of attaching to this run: the run ended without a complete answer, or
// the request has other content, which the node refuses.
func (r *run) replaceable(req *waxwingwall.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Digest != r.request.Digest {
		return true
	}
	return r.end != nil && r.end.Problem != nil
}
