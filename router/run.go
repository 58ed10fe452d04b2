package router

import (
	"context"
	"sync"
	"time"

	"waxwingwall"
)

// nextTimeout is how long Next waits for output before it answers with none.
const nextTimeout = 2 * time.Second

// run is the output of one request at its owner. Frames are only appended, so
// that any number of readers can each read from their own offset.
type run struct {
	request *waxwingwall.Request
	arrived time.Time

	// mu guards the rest; changed is closed and replaced at every change.
	mu      sync.Mutex
	changed chan struct{}
	frames  []waxwingwall.Frame
	end     *waxwingwall.End

	// attempt is the current attempt; frames of any other are dropped.
	attempt int

	// limit is the most frames that the reservation pays for.
	limit int

	// stop cancels the current attempt; nil if there is none.
	stop context.CancelFunc

	// readers counts callers that read; lastRead is when one last did.
	readers  int
	lastRead time.Time
}

func newRun(r *waxwingwall.Request, now time.Time) *run {
	return &run{
		request:  r,
		arrived:  now,
		changed:  make(chan struct{}),
		frames:   append([]waxwingwall.Frame(nil), r.Prior...),
		limit:    int(r.MaxOutput),
		lastRead: now,
	}
}

// notifyReaders tells the readers that something changed. The caller holds mu.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// beginAttempt makes attempt the current one and returns how many frames there are.
func (r *run) beginAttempt(attempt int, stop context.CancelFunc) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = attempt
	r.stop = stop
	return len(r.frames)
}

// add appends a frame of an attempt. It reports the number of frames, and
// whether the attempt may go on.
func (r *run) add(attempt int, f waxwingwall.Frame) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || r.end != nil || len(r.frames) >= r.limit {
		return len(r.frames), false
	}
	r.frames = append(r.frames, f)
	r.notifyReaders()
	return len(r.frames), true
}

// cancel stops an attempt; its later frames are dropped.
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

// next returns the frames from offset on, waiting for some.
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

// read returns what there is from offset on, and what is closed at the next
// change.
func (r *run) read(offset int) (waxwingwall.Frames, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := waxwingwall.Frames{
		End: r.end,
	}
	if offset < len(r.frames) {
		f.Frames = r.frames[offset:len(r.frames):len(r.frames)]
	}
	return f, r.changed
}

// markRead notes that now counts as a time when a caller read.
func (r *run) markRead(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = now
}

// addReader notes that a caller begins to read.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// removeReader notes that a caller stops reading.
func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastRead = time.Now()
}

// abandoned reports that no caller has read for longer than grace.
func (r *run) abandoned(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end == nil && r.readers == 0 && now.Sub(r.lastRead) > grace
}

// expired reports that the output ended and nobody has read for longer than
// keep.
func (r *run) expired(now time.Time, retention time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil && r.readers == 0 && now.Sub(r.lastRead) > retention
}

// replaceable reports that a request with this identity goes to the node and
// not to this run: the run ended without a whole answer, or the request has
// other content, which the node refuses.
func (r *run) replaceable(req *waxwingwall.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Digest != r.request.Digest {
		return true
	}
	return r.end != nil && r.end.Problem != nil
}
