package router

import (
	"context"
	"errors"
	"sync"

	"waxwingwall"
)

// answers are the answers that callers get through this router, whichever router owns
// their requests.
type answers struct {
	// ended is done once the answers must end; end ends them.
	ended context.Context
	end   context.CancelFunc

	// mu guards the fields below. open counts the answers without an end. idle is closed
	// once there are none and closed is set: no more are accepted.
	mu     sync.Mutex
	open   int
	closed bool
	idle   chan struct{}
}

func newAnswers() *answers {
	ended, end := context.WithCancel(context.Background())
	return &answers{
		ended: ended,
		end:   end,
		idle:  make(chan struct{}),
	}
}

// add counts one more answer. It returns false if no more are accepted.
func (a *answers) add() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.open++
	return true
}

// remove counts one answer less.
func (a *answers) remove() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	a.signalIdle()
}

// close accepts no more answers and returns the number of those without an end.
func (a *answers) close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.signalIdle()
	}
	return a.open
}

// signalIdle closes idle if it is time. The caller holds mu.
func (a *answers) signalIdle() {
	if a.closed && a.open == 0 {
		close(a.idle)
	}
}

// context returns a context that is also done once the answers must end.
func (a *answers) context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// errAnswersClosed means that no more answers are accepted.
var errAnswersClosed = errors.New("the router is stopping")

// serve calls begin and counts the answer that it returns until it is closed.
func (a *answers) serve(ctx context.Context, begin func(context.Context) (waxwingwall.Answer, error)) (waxwingwall.Answer, error) {
	if !a.add() {
		return nil, errAnswersClosed
	}
	both, cancel := a.context(ctx)
	defer cancel()
	answer, err := begin(both)
	if err == nil {
		return &counted{
			Answer:  answer,
			answers: a,
		}, nil
	}
	a.remove()
	if a.isEnd(ctx, err) {
		return nil, stopping()
	}
	return nil, err
}

// isEnd reports whether an error of a call is the end of the answers, and not that of the
// caller's context.
func (a *answers) isEnd(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && a.ended.Err() != nil
}

// counted is an answer that a stop waits for, and that it ends if it takes too long.
type counted struct {
	waxwingwall.Answer
	answers *answers
	once    sync.Once
}

// Next implements waxwingwall.Answer.
func (c *counted) Next(ctx context.Context) (waxwingwall.Frames, error) {
	both, cancel := c.answers.context(ctx)
	defer cancel()
	f, err := c.Answer.Next(both)
	if !c.answers.isEnd(ctx, err) {
		return f, err
	}
	return waxwingwall.Frames{
		End: &waxwingwall.End{
			Problem: stopping(),
		},
	}, nil
}

// Close implements waxwingwall.Answer.
func (c *counted) Close() {
	c.once.Do(func() {
		c.Answer.Close()
		c.answers.remove()
	})
}

// EndAnswers refuses new requests of callers and waits until those that were accepted have
// their answers, whichever router owns them. Once ctx is done, the others end with a
// problem.
func (r *Router) EndAnswers(ctx context.Context) {
	open := r.answers.close()
	r.log.WithField("answers", open).Info("drain waits for answers")
	select {
	case <-r.answers.idle:
		return
	case <-ctx.Done():
	}
	r.log.WithField("answers", r.answers.close()).Warn("drain ends answers")
	r.answers.end()
}
