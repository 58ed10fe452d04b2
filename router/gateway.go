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
)

// Limits of the gateway.
const (
	// defaultBodyTimeout holds until there is a configuration.
	defaultBodyTimeout = 10 * time.Second

	// maxHops bounds how often a request is passed on before it has an owner.
	maxHops = 4

	// lookTime bounds how long the owner is looked for while the slot changes
	// hands, lookPause is the time between two looks. It is about the time after
	// which a refused caller would come back.
	lookTime  = 1500 * time.Millisecond
	lookPause = 100 * time.Millisecond

	// failoverTime bounds how long a request that lost its owner looks for the
	// next one.
	failoverTime = 8 * time.Second

	// failoverPause is the time between two looks.
	failoverPause = 200 * time.Millisecond

	// leaveTimeout bounds the telling of the owner that a caller went away.
	leaveTimeout = time.Second

	// codeOwner marks a request whose owner can't be reached.
	codeOwner = "owner_unreachable"

	// ownerRetry is when to come back for a request whose owner is out of
	// reach: about the time of a takeover.
	ownerRetry = 2 * time.Second
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
func (r *Router) Serve(ctx context.Context, account waxwingwall.Account, ask waxwingwall.CallerRequest) (waxwingwall.Answer, error) {
	s := r.snapshot.Load()
	if s == nil {
		return nil, notReady()
	}
	req, p := core.Check(&s.Document, account, ask)
	if p != nil {
		if ask.Key != "" {
			p.Outcome = waxwingwall.Unknown
		}
		return nil, p
	}
	a := &answer{
		router:  r,
		request: req,
	}
	if err := a.begin(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

// begin places the request for the first time. One without a key goes to the
// account's home; if that can't be reached and the request was provably not
// taken there, it runs here.
func (a *answer) begin(ctx context.Context) error {
	if a.request.Keyed {
		return a.place(ctx)
	}
	if err := a.router.mint(ctx, a.request, false); err != nil {
		return err
	}
	err := a.place(ctx)
	var p *waxwingwall.Problem
	if !errors.As(err, &p) || p.Status != http.StatusServiceUnavailable || p.Outcome != waxwingwall.NotRun || !placeable[p.Code] {
		return err
	}
	if err := a.router.mint(ctx, a.request, true); err != nil {
		return err
	}
	return a.place(ctx)
}

// placeable are the problems that another owner may not have.
var placeable = map[string]bool{
	codeOwner:                true,
	core.CodeStopping:        true,
	core.CodeSlotUnavailable: true,
}

func notReady() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_ready",
		Message:    "this router has no configuration yet",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: ownerRetry,
	}
}

// mint gives a request without a key one; with local set, of a slot owned here.
func (r *Router) mint(ctx context.Context, req *waxwingwall.Request, local bool) error {
	return r.ask(ctx, func(time.Time) {
		req.Identity.Key = r.node.NewKey(req.Identity.Account, req.Spread, local)
	})
}

// answer is a request as its gateway sees it.
type answer struct {
	router  *Router
	request *waxwingwall.Request

	// home is the owner that took the request; nil before the first did.
	home waxwingwall.Owner

	// lookUntil is until when a slot that changes hands is looked for; zero
	// before the first such look.
	lookUntil time.Time

	// given are the frames that the caller has.
	given []waxwingwall.Frame

	// done is set once the end was given.
	done bool
}

// ID implements waxwingwall.Answer.
func (a *answer) ID() string {
	return a.request.Identity.Key
}

// place finds the owner of the request and submits it there. The error is a
// *waxwingwall.Problem, or that of the context. While a slot changes hands, its
// old and its new owner may name each other for a moment; then it looks again.
func (a *answer) place(ctx context.Context) error {
	last := error(a.ownerGone())
	for {
		err := a.placeOnce(ctx)
		if !moving(err) {
			return err
		}
		if !errors.Is(err, errMoving) {
			last = err
		}
		if !a.mayLook() {
			return last
		}
		select {
		case <-time.After(lookPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// mayLook reports whether there is time to look for an owner again. It runs from
// the first time that the slot was seen changing hands.
func (a *answer) mayLook() bool {
	now := time.Now()
	if a.lookUntil.IsZero() {
		a.lookUntil = now.Add(lookTime)
	}
	return now.Before(a.lookUntil)
}

// moving reports that the request's slot is changing hands.
func moving(err error) bool {
	var p *waxwingwall.Problem
	return errors.Is(err, errMoving) || errors.As(err, &p) && p.Code == core.CodeSlotUnavailable
}

// errMoving means that no router named itself the owner.
var errMoving = errors.New("the slot is changing hands")

// placeOnce follows the owners that routers name, from this one on.
func (a *answer) placeOnce(ctx context.Context) error {
	home := waxwingwall.Owner(a.router)
	for range maxHops {
		s, err := home.Submit(ctx, a.request)
		if err != nil {
			return a.unplaced(ctx, err)
		}
		if s.Problem != nil {
			return s.Problem
		}
		if s.Owner.IsZero() {
			a.home = home
			return nil
		}
		next, ok := a.router.peer(s.Owner)
		if !ok {
			return a.ownerGone()
		}
		home = next
	}
	return errMoving
}

// unplaced judges a Submit without an answer: if the connection could not be
// made, the request was not run.
func (a *answer) unplaced(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		return a.ownerGone()
	}
	p := a.ownerGone()
	p.Outcome = waxwingwall.Unknown
	return p
}

// ownerGone is not run only for a key that was made here and never placed.
func (a *answer) ownerGone() *waxwingwall.Problem {
	p := ownerGone()
	if a.request.Keyed || a.home != nil {
		p.Outcome = waxwingwall.Unknown
	}
	return p
}

// ownerGone is the answer to a request that reached no owner.
func ownerGone() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       codeOwner,
		Message:    "the router that owns this request can't be reached",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: ownerRetry,
	}
}

// Next implements waxwingwall.Answer.
func (a *answer) Next(ctx context.Context) (waxwingwall.Frames, error) {
	f, err := a.home.Next(ctx, a.request.Identity, len(a.given))
	if ctx.Err() != nil {
		return waxwingwall.Frames{}, ctx.Err()
	}
	if err != nil || lostOwner(f.End) {
		return a.failOver(ctx)
	}
	if a.moved(f.End) {
		return waxwingwall.Frames{}, a.placeAgain(ctx)
	}
	if a.request.Idempotent {
		a.given = append(a.given, f.Frames...)
	}
	a.done = f.End != nil
	return f, nil
}

// lostOwner reports an end that only says that the owner is going away.
func lostOwner(e *waxwingwall.End) bool {
	return e != nil && e.Problem != nil && e.Problem.Code == core.CodeStopping
}

// moved reports that the request was given back before it ran, because its slot
// was changing hands, and that it may look for the new owner.
func (a *answer) moved(e *waxwingwall.End) bool {
	return e != nil && e.Problem != nil && e.Problem.Code == core.CodeSlotUnavailable &&
		len(a.given) == 0 && a.mayLook()
}

// placeAgain looks for the new owner of a request that was given back.
func (a *answer) placeAgain(ctx context.Context) error {
	select {
	case <-time.After(lookPause):
	case <-ctx.Done():
		return ctx.Err()
	}
	return a.place(ctx)
}

// failOver carries an idempotent request on at the next owner of its slot,
// after the last frame that the caller has.
func (a *answer) failOver(ctx context.Context) (waxwingwall.Frames, error) {
	if !a.request.Idempotent {
		return a.end(unknownOutcome()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, failoverTime)
	defer cancel()
	again := *a.request
	again.Prior = a.given
	a.request = &again
	for {
		err := a.place(ctx)
		if err == nil {
			return waxwingwall.Frames{}, nil
		}
		var p *waxwingwall.Problem
		if errors.As(err, &p) && p.Status != http.StatusServiceUnavailable {
			return a.end(p), nil
		}
		select {
		case <-time.After(failoverPause):
		case <-ctx.Done():
			return a.end(unknownOutcome()), nil
		}
	}
}

// unknownOutcome is the answer to a request whose owner was lost with it.
func unknownOutcome() *waxwingwall.Problem {
	p := ownerGone()
	p.Code = "outcome_unknown"
	p.Message = "the router that ran this request was lost; ask for its status before asking again"
	p.Outcome = waxwingwall.Unknown
	return p
}

// end closes the answer with a problem.
func (a *answer) end(p *waxwingwall.Problem) waxwingwall.Frames {
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
	_ = a.home.Leave(ctx, a.request.Identity)
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
	home := waxwingwall.Owner(r)
	for range maxHops {
		st, err := home.Status(ctx, id, a.Spread)
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
		home = next
	}
	return waxwingwall.Status{}, unknownOutcome()
}
