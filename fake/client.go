package fake

import (
	"fmt"
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// operation is the decision logic of an operator's command, such as a
// config.Change or an escrow.TopUp.
type operation interface {
	Step(now time.Time, ev effect.Event) []effect.Action
	Done() bool
}

// Execute runs an operation to completion at the current time, regardless of
// faults.
func (w *World) Execute(op operation) {
	events := []effect.Event{effect.Tick{}}
	for len(events) > 0 && !op.Done() {
		ev := events[0]
		events = events[1:]
		for _, a := range op.Step(w.Now, ev) {
			events = append(events, w.serve(a, false))
		}
	}
	if !op.Done() {
		w.Fail("operation did not complete")
	}
}

// Configure publishes the next configuration document and returns it.
func (w *World) Configure(text string) *config.Document {
	d, err := config.Parse([]byte(text))
	if err != nil {
		w.Fail("document: %v", err)
	}
	change := config.NewChange(config.Request{
		Environment: config.Production,
		Base:        config.Newest,
		Text:        []byte(text),
		Author:      "fake",
		Time:        w.Now,
		ID:          fmt.Sprint("change", w.version),
	})
	w.Execute(change)
	if _, err := change.Result(); err != nil {
		w.Fail("change: %v", err)
	}
	return &d
}

// TopUp adds tokens to a budget.
func (w *World) TopUp(b waxwingwall.Budget, id string, amount waxwingwall.Tokens) {
	w.Execute(escrow.NewTopUp(b, id, amount))
}

// Client is a caller with one request.
type Client struct {
	// Request is the request to submit. If it is not Keyed, Submit gives it a new
	// key for each try.
	Request *waxwingwall.Request

	// Tries counts the submissions; the client gives up after MaxTries.
	Tries, MaxTries int

	// Ran is set after a successful answer.
	Ran bool

	// NotRun is set if the last submission was answered as not run.
	NotRun bool

	// Codes are the codes of all refusals, or "no_answer" if the client gave up
	// without any.
	Codes []string

	// slotRetries counts the retries while the request's slot was changing its
	// owner, over all tries.
	slotRetries int

	// answersSeen is the number of the World's answers to the request at the last
	// submission.
	answersSeen int
}

// answerTimeout is how long a client waits for an answer before it submits the
// request again.
const answerTimeout = 4 * time.Second

// Submit submits a request to a random router and follows redirects to its owner, as
// a gateway does. If the request has no key and the owner of its generated key can't
// accept it, the router generates a key for a slot of its own.
func (w *World) Submit(c *Client) {
	c.Tries++
	c.NotRun = false
	c.answersSeen = len(w.Answers[c.Request.Identity])
	h := w.Hosts[w.Random.IntN(len(w.Hosts))]
	if h.Dead || h.Paused {
		w.After(reconnectDelay, func() { w.submitElsewhere(c) })
		return
	}
	if !c.Request.Keyed {
		c.Request.Identity.Key = h.Node.NewKey(c.Request.Identity.Account, c.Request.Spread, false)
	}
	if !w.submitAt(c, h) && !c.Request.Keyed {
		c.Request.Identity.Key = h.Node.NewKey(c.Request.Identity.Account, c.Request.Spread, true)
		w.submitAt(c, h)
	}
	w.After(answerTimeout, func() { w.checkAnswers(c) })
}

// reconnectDelay is the time after which a caller tries another address.
const reconnectDelay = 200 * time.Millisecond

// submitElsewhere repeats a submission that reached no router; it doesn't count as
// another try.
func (w *World) submitElsewhere(c *Client) {
	c.Tries--
	w.Submit(c)
}

// submitAt submits a request to h and follows redirects to the owner. It returns
// false if the owner can't be reached, doesn't know yet that it is the owner, or
// still refuses with CodeSlotUnavailable after all retries.
func (w *World) submitAt(c *Client, h *Host) bool {
	for range maxRedirects {
		if h == nil || h.Dead || h.Paused {
			return false
		}
		request := *c.Request
		s, actions := h.Node.Submit(w.Now, &request)
		for _, a := range actions {
			w.perform(h, h.Generation, a)
		}
		if s.Problem != nil && s.Problem.Code == core.CodeSlotUnavailable && c.slotRetries < maxSlotRetries {
			w.retrySlot(c, h)
			return true
		}
		if s.Problem != nil {
			w.checkProblem(c, s.Problem)
			return s.Problem.Code != core.CodeSlotUnavailable
		}
		if s.Owner.IsZero() {
			w.clients[request.Identity] = c
			w.Accepted[request.Identity]++
			return true
		}
		h = w.reachableHost(h.VM, s.Owner.VM)
	}
	return false
}

// Limits of a gateway's search for the owner of a request.
const (
	// maxRedirects is the maximum number of routers tried in one submission.
	maxRedirects = 4

	// maxSlotRetries is the maximum number of retries while the slot is changing its
	// owner, slotRetryDelay the time between two retries.
	maxSlotRetries = 15
	slotRetryDelay = 100 * time.Millisecond
)

// retrySlot resubmits a request whose slot is changing its owner, after a delay.
func (w *World) retrySlot(c *Client, h *Host) {
	c.slotRetries++
	w.After(slotRetryDelay, func() { w.submitAt(c, h) })
}

// handleFinish processes a final answer. If the request was refused because its
// slot is changing its owner, the gateway searches for the owner again.
func (w *World) handleFinish(h *Host, id waxwingwall.Identity, end waxwingwall.End) {
	c := w.clients[id]
	if c != nil && end.Problem != nil && end.Problem.Code == core.CodeSlotUnavailable && c.slotRetries < maxSlotRetries {
		w.Returned++
		w.Accepted[id]--
		w.retrySlot(c, h)
		return
	}
	w.Answers[id] = append(w.Answers[id], end)
	if w.KillOnAnswer && end.Problem == nil {
		w.KillOnAnswer = false
		h.Dead = true
	}
}

// reachableHost returns the host of VM to, or nil if it is partitioned from VM
// from.
func (w *World) reachableHost(from, to waxwingwall.VM) *Host {
	if w.Partitioned[[2]waxwingwall.VM{from, to}] {
		return nil
	}
	for _, h := range w.Hosts {
		if h.VM == to {
			return h
		}
	}
	return nil
}

// checkProblem records a refusal and checks that its outcome is true and that it
// has a retry time if its status is 503.
func (w *World) checkProblem(c *Client, p *waxwingwall.Problem) {
	id := c.Request.Identity
	c.Codes = append(c.Codes, p.Code)
	if p.Outcome == waxwingwall.NotRun {
		c.NotRun = true
		if w.Runs[id] > 0 {
			w.Fail("%v: answered not run (%s) after %d runs", id, p.Code, w.Runs[id])
		}
	}
	if p.RetryAfter <= 0 && p.Status == http.StatusServiceUnavailable {
		w.Fail("%v: %s without a retry time", id, p.Code)
	}
}

// checkAnswers processes the answers to the last submission, and submits the
// request again if none was successful.
func (w *World) checkAnswers(c *Client) {
	for _, end := range w.Answers[c.Request.Identity][c.answersSeen:] {
		if end.Problem == nil {
			c.Ran = true
			return
		}
		w.checkProblem(c, end.Problem)
	}
	if c.Tries < c.MaxTries {
		w.Submit(c)
	} else if len(c.Codes) == 0 {
		c.Codes = append(c.Codes, "no_answer")
	}
}

// Settle ends all faults, waits until the routers have recovered, and drains all
// of them.
func (w *World) Settle() {
	w.Outage, w.AnswerLoss, w.MessageLoss, w.CrashProbability = false, 0, 0, 0
	w.BreakProbability, w.DeclineProbability = 0, 0
	clear(w.Silent)
	clear(w.Partitioned)
	for _, h := range w.Hosts {
		if h.Paused {
			w.Resume(h)
		}
		if h.Dead {
			w.Boot(h)
		}
	}
	w.Run(90 * time.Second)
	for _, h := range w.Hosts {
		w.Drain(h)
		w.Run(time.Second)
	}
	w.TickInterval = time.Second
	w.Run(20 * time.Minute)
}

// Drain starts a graceful stop of a router.
func (w *World) Drain(h *Host) {
	for _, a := range h.Node.Drain(w.Now) {
		w.perform(h, h.Generation, a)
	}
}

// Audit compares the bills with the runs and with the payments. Call it after
// Settle.
func (w *World) Audit(clients []*Client, paid map[waxwingwall.Budget]waxwingwall.Tokens) {
	bills, err := claim.ReadBills(w.List(claim.AllBillsPrefix))
	if err != nil {
		w.Fail("bills: %v", err)
	}
	spent := make(map[waxwingwall.Budget]waxwingwall.Tokens)
	count := make(map[waxwingwall.Identity]int)
	for _, b := range bills {
		spent[b.Budget] += b.Tokens
		count[b.Identity]++
	}
	for budget, tokens := range spent {
		if tokens > paid[budget] {
			w.Fail("budget %s: spent %d of %d", budget, tokens, paid[budget])
		}
	}
	for _, c := range clients {
		w.auditClient(c, count[c.Request.Identity])
	}
}

// auditClient compares the answers to one client with the runs and the bills.
func (w *World) auditClient(c *Client, bills int) {
	id := c.Request.Identity
	runs := w.Runs[id]
	switch {
	case bills > 1:
		w.Fail("%v: billed %d times", id, bills)
	case c.Ran && bills == 0:
		w.Fail("%v: ran and was not billed", id)
	case !c.Request.Idempotent && runs > 1:
		w.Fail("%v: ran %d times", id, runs)
	case c.NotRun && runs > 0:
		w.Fail("%v: the last answer said not run, but the request ran", id)
	}
}
