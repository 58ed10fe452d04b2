package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/io/peer"
)

// Limits of the gateway, the router that accepts a request from its caller.
const (
	// defaultBodyTimeout applies until the router has a configuration.
	defaultBodyTimeout = 10 * time.Second

	// maxHops limits how many routers a submission tries as it follows redirects
	// to the owner of the request; the first is this router.
	maxHops = 4

	// handoffTimeout limits how long a request searches for its owner during a
	// slot handoff, with handoffRetryInterval between two attempts. A longer
	// search has no use: a refused caller retries after about that time.
	handoffTimeout       = 1500 * time.Millisecond
	handoffRetryInterval = 100 * time.Millisecond

	// failoverTimeout limits how long a request that lost its owner searches
	// for the next owner, or tries to reach the same one if it may not run twice.
	failoverTimeout = 8 * time.Second

	// failoverRetryInterval is the time between two attempts to find the next
	// owner.
	failoverRetryInterval = 200 * time.Millisecond

	// leaveTimeout limits the call that reports to the owner that the caller
	// has disconnected.
	leaveTimeout = time.Second

	// codeOwnerUnreachable is the code for a request whose owner is
	// unreachable.
	codeOwnerUnreachable = "owner_unreachable"

	// unavailableRetryAfter is the retry delay for a request that this router
	// can't serve at the moment: about the duration of a takeover.
	unavailableRetryAfter = 2 * time.Second
)

// Account implements waxwingwall.CallerAPI.
func (r *Router) Account(key string) (waxwingwall.Account, error) {
	s := r.snapshot.Load()
	if s == nil {
		return "", notReady()
	}
	account, ok := s.Keys.Match(key)
	if !ok {
		return "", &waxwingwall.Problem{
			Status:  http.StatusUnauthorized,
			Code:    "wrong_key",
			Message: "no client account has this key",
			Outcome: waxwingwall.NotRun,
		}
	}
	return account, nil
}

// BodyTimeout implements waxwingwall.CallerAPI.
func (r *Router) BodyTimeout() time.Duration {
	s := r.snapshot.Load()
	if s == nil {
		return defaultBodyTimeout
	}
	return s.Document.Limits.BodyTimeout
}

// Serve implements waxwingwall.CallerAPI.
func (r *Router) Serve(ctx context.Context, account waxwingwall.Account, callerReq waxwingwall.CallerRequest) (waxwingwall.Answer, error) {
	s := r.snapshot.Load()
	if s == nil {
		return nil, notReady()
	}
	req, p := core.Check(&s.Document, account, callerReq)
	if p != nil {
		if callerReq.Key != "" {
			p.Outcome = waxwingwall.Unknown
		}
		return nil, p
	}
	served, err := r.answers.serve(ctx, func(ctx context.Context) (waxwingwall.Answer, error) {
		a := &answer{
			router:  r,
			request: req,
		}
		return a, a.begin(ctx)
	})
	if errors.Is(err, errAnswersClosed) {
		return nil, refusedByStop(req)
	}
	return served, err
}

// refusedByStop returns the problem of a request that arrived too late in a stop.
func refusedByStop(req *waxwingwall.Request) *waxwingwall.Problem {
	p := stopping()
	if !req.Keyed {
		p.Outcome = waxwingwall.NotRun
	}
	return p
}

// begin submits the request for the first time. A request without a key gets one
// that belongs to a slot of its account; if the slot's owner provably did not
// accept the request, and another owner may, it gets a key that belongs to a slot
// of this router.
func (a *answer) begin(ctx context.Context) error {
	if a.request.Keyed {
		return a.submit(ctx)
	}
	if err := a.router.assignKey(ctx, a.request, false); err != nil {
		return err
	}
	err := a.submit(ctx)
	var p *waxwingwall.Problem
	if !errors.As(err, &p) || p.Status != http.StatusServiceUnavailable || p.Outcome != waxwingwall.NotRun || !retryableElsewhere[p.Code] {
		return err
	}
	if err := a.router.assignKey(ctx, a.request, true); err != nil {
		return err
	}
	return a.submit(ctx)
}

// retryableElsewhere holds the codes of refusals after which another owner may
// still accept the request.
var retryableElsewhere = map[string]bool{
	codeOwnerUnreachable:     true,
	core.CodeStopping:        true,
	core.CodeSlotUnavailable: true,
}

func notReady() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_ready",
		Message:    "this router has no configuration yet",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: unavailableRetryAfter,
	}
}

// assignKey generates a key for a request without one. If local is set, the key
// belongs to a slot that this router owns, if there is one.
func (r *Router) assignKey(ctx context.Context, req *waxwingwall.Request, local bool) error {
	return r.callControl(ctx, func(time.Time) {
		req.Identity.Key = r.node.NewKey(req.Identity.Account, req.Spread, local)
	})
}

// answer implements waxwingwall.Answer for a request that this router accepted from
// its caller; the request runs at its owner, which may be another router.
type answer struct {
	router  *Router
	request *waxwingwall.Request

	// owner is the owner that accepted the request; nil until the first one
	// did.
	owner waxwingwall.Owner

	// handoffDeadline limits the search for a new owner during a slot handoff;
	// zero before the first retry.
	handoffDeadline time.Time

	// delivered holds the frames of an idempotent request that were returned to
	// the caller; it stays empty for other requests. version is the version of the
	// endpoints that produced them.
	delivered []waxwingwall.Frame
	version   string

	// done is set once the end was delivered.
	done bool
}

// ID implements waxwingwall.Answer.
func (a *answer) ID() string {
	return a.request.Identity.Key
}

// submit finds the owner of the request and submits it there. The error is a
// *waxwingwall.Problem or the error of the context. During a slot handoff the
// old and the new owner may briefly redirect to each other; submit then retries.
func (a *answer) submit(ctx context.Context) error {
	last := error(a.ownerUnreachable())
	for {
		err := a.submitOnce(ctx)
		if !isHandoff(err) {
			return err
		}
		if !errors.Is(err, errHandoff) {
			last = err
		}
		if !a.mayRetryHandoff() {
			return last
		}
		select {
		case <-time.After(handoffRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// mayRetryHandoff reports whether there is time to search for the owner again.
// The time starts when the handoff is first observed.
func (a *answer) mayRetryHandoff() bool {
	now := time.Now()
	if a.handoffDeadline.IsZero() {
		a.handoffDeadline = now.Add(handoffTimeout)
	}
	return now.Before(a.handoffDeadline)
}

// isHandoff reports whether err is caused by a slot handoff.
func isHandoff(err error) bool {
	var p *waxwingwall.Problem
	return errors.Is(err, errHandoff) || errors.As(err, &p) && p.Code == core.CodeSlotUnavailable
}

// errHandoff means that no router within maxHops accepted the request as its
// owner.
var errHandoff = errors.New("slot handoff in progress")

// submitOnce submits the request to this router and follows the redirects to its
// owner.
func (a *answer) submitOnce(ctx context.Context) error {
	owner := waxwingwall.Owner(a.router)
	for range maxHops {
		s, err := owner.Submit(ctx, a.request)
		if err != nil {
			return a.submitError(ctx, err)
		}
		if s.Problem != nil {
			return s.Problem
		}
		if s.Owner.IsZero() {
			a.owner = owner
			return nil
		}
		next, ok := a.router.peer(s.Owner)
		if !ok {
			return a.ownerUnreachable()
		}
		owner = next
	}
	return errHandoff
}

// submitError returns the problem of a Submit that got no response. Its outcome is
// Unknown, unless no connection could be established or the owner had no room for the request: then
// it is that of ownerUnreachable.
func (a *answer) submitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var op *net.OpError
	if errors.Is(err, peer.ErrBusy) || errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		return a.ownerUnreachable()
	}
	p := a.ownerUnreachable()
	p.Outcome = waxwingwall.Unknown
	return p
}

// ownerUnreachable returns the problem of an unreachable owner. Its outcome is
// NotRun only if the key was generated here and no owner accepted the request.
func (a *answer) ownerUnreachable() *waxwingwall.Problem {
	p := ownerUnreachable()
	if a.request.Keyed || a.owner != nil {
		p.Outcome = waxwingwall.Unknown
	}
	return p
}

// ownerUnreachable returns the problem of a request that reached no owner.
func ownerUnreachable() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       codeOwnerUnreachable,
		Message:    "the router that owns this request can't be reached",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: unavailableRetryAfter,
	}
}

// Next implements waxwingwall.Answer.
func (a *answer) Next(ctx context.Context) (waxwingwall.Frames, error) {
	f, err := a.owner.Next(ctx, a.request.Identity, len(a.delivered))
	if err != nil && ctx.Err() == nil && !a.request.Idempotent {
		f, err = a.readAgain(ctx)
	}
	if ctx.Err() != nil {
		return waxwingwall.Frames{}, ctx.Err()
	}
	if err != nil || isOwnerStopping(f.End) {
		return a.failOver(ctx)
	}
	if f.End != nil && f.End.Problem == nil && f.End.Finish == "" {
		// The owner does not say that the answer is complete.
		return a.fail(unknownOutcome()), nil
	}
	if a.shouldResubmit(f.End) {
		return waxwingwall.Frames{}, a.resubmit(ctx)
	}
	if len(a.delivered) > 0 && f.Version != a.version && (len(f.Frames) > 0 || f.End != nil && f.End.Problem == nil) {
		// The new owner runs the request from its start, for another caller.
		return a.fail(unknownOutcome()), nil
	}
	if a.request.Idempotent && len(f.Frames) > 0 {
		a.delivered = append(a.delivered, f.Frames...)
		a.version = f.Version
	}
	a.done = f.End != nil
	return f, nil
}

// readAgain repeats a read that got no answer: the connection to the owner may have
// failed, and not the owner. It gives up after failoverTimeout.
func (a *answer) readAgain(ctx context.Context) (waxwingwall.Frames, error) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	for {
		f, err := a.owner.Next(ctx, a.request.Identity, len(a.delivered))
		if err == nil && ctx.Err() == nil {
			return f, nil
		}
		select {
		case <-time.After(failoverRetryInterval):
		case <-ctx.Done():
			return waxwingwall.Frames{}, ctx.Err()
		}
	}
}

// isOwnerStopping reports whether an end only states that the owner is
// stopping.
func isOwnerStopping(e *waxwingwall.End) bool {
	return e != nil && e.Problem != nil && e.Problem.Code == core.CodeStopping
}

// shouldResubmit reports whether the request was returned before it ran,
// because of a slot handoff, and there is time to search for the new owner.
func (a *answer) shouldResubmit(e *waxwingwall.End) bool {
	return e != nil && e.Problem != nil && e.Problem.Code == core.CodeSlotUnavailable &&
		len(a.delivered) == 0 && a.mayRetryHandoff()
}

// resubmit submits a returned request to the new owner of its slot, after
// handoffRetryInterval.
func (a *answer) resubmit(ctx context.Context) error {
	select {
	case <-time.After(handoffRetryInterval):
	case <-ctx.Done():
		return ctx.Err()
	}
	return a.submit(ctx)
}

// failOver resumes an idempotent request at the next owner of its slot, after
// the last frame that the caller has received. The outcome of any other request
// is unknown.
func (a *answer) failOver(ctx context.Context) (waxwingwall.Frames, error) {
	if !a.request.Idempotent {
		return a.fail(unknownOutcome()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	resumed := *a.request
	resumed.Prior = a.delivered
	resumed.PriorVersion = a.version
	a.request = &resumed
	for {
		err := a.submit(ctx)
		if err == nil {
			return waxwingwall.Frames{}, nil
		}
		var p *waxwingwall.Problem
		if errors.As(err, &p) && p.Status != http.StatusServiceUnavailable {
			return a.fail(p), nil
		}
		select {
		case <-time.After(failoverRetryInterval):
		case <-ctx.Done():
			return a.fail(unknownOutcome()), nil
		}
	}
}

// unknownOutcome returns the problem of a request whose owner was lost while it
// may have been running.
func unknownOutcome() *waxwingwall.Problem {
	p := ownerUnreachable()
	p.Code = "outcome_unknown"
	p.Message = "the router that ran this request was lost; ask for its status before asking again"
	p.Outcome = waxwingwall.Unknown
	return p
}

// fail ends the answer with a problem.
func (a *answer) fail(p *waxwingwall.Problem) waxwingwall.Frames {
	a.done = true
	return waxwingwall.Frames{
		End: &waxwingwall.End{
			Problem: p,
		},
	}
}

// Close implements waxwingwall.Answer.
func (a *answer) Close() {
	if a.done || a.request.Keyed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = a.owner.Leave(ctx, a.request.Identity)
}

// RequestStatus implements waxwingwall.CallerAPI.
func (r *Router) RequestStatus(ctx context.Context, account waxwingwall.Account, key string) (waxwingwall.Status, error) {
	s := r.snapshot.Load()
	if s == nil {
		return waxwingwall.Status{}, notReady()
	}
	id := waxwingwall.Identity{
		Account: account,
		Key:     key,
	}
	a, _ := s.Document.Account(account)
	owner := waxwingwall.Owner(r)
	for range maxHops {
		st, err := owner.Status(ctx, id, a.Spread)
		if err != nil {
			return waxwingwall.Status{}, unknownOutcome()
		}
		if st.Owner.IsZero() {
			return st, nil
		}
		next, ok := r.peer(st.Owner)
		if !ok {
			return waxwingwall.Status{}, unknownOutcome()
		}
		owner = next
	}
	return waxwingwall.Status{}, unknownOutcome()
}
