package fake

import (
	"net/http"
	"time"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/escrow"
)

// operation is decision logic of an operator's order.
type operation interface {
	Step(now time.Time, ev effect.Event) []effect.Action
	Done() bool
}

// Execute carries an operator's order out at once, whatever the faults.
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
		w.Fail("an order did not end")
	}
}

// Configure puts a document in force and returns it.
func (w *World) Configure(text string) *config.Document {
	d, err := config.Parse([]byte(text))
	if err != nil {
		w.Fail("document: %v", err)
	}
	w.Execute(config.NewChange(config.Request{
		Environment: config.Production,
		Text:        []byte(text),
		Author:      "fake",
		Time:        w.Now,
		ID:          "first",
	}))
	return &d
}

// TopUp pays into a budget.
func (w *World) TopUp(b waxwingwall.Budget, id string, amount waxwingwall.Tokens) {
	w.Execute(escrow.NewTopUp(b, id, amount))
}

// Client is one request and how its caller fares.
type Client struct {
	// Request is what it asks.
	Request *waxwingwall.Request

	// Tries counts its asks; it gives up after MaxTries of them.
	Tries, MaxTries int

	// Ran is set once it was told that the request ran.
	Ran bool

	// NotRun is set while the last thing it was told is that it was not run.
	NotRun bool

	// Codes are the reasons of all refusals.
	Codes []string

	// slotRetries counts how often it was given back while its slot changed hands.
	slotRetries int

	// answersSeen counts those of the world's answers that it has seen.
	answersSeen int
}

// answerTimeout is how long a client waits before it asks again.
const answerTimeout = 4 * time.Second

// Submit submits a request at some router and follows it to its owner, as a
// gateway does.
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
		c.Request.Identity.Key = h.Node.Mint(c.Request.Identity.Account, c.Request.Spread, false)
	}
	if !w.submitAt(c, h) && !c.Request.Keyed {
		c.Request.Identity.Key = h.Node.Mint(c.Request.Identity.Account, c.Request.Spread, true)
		w.submitAt(c, h)
	}
	w.After(answerTimeout, func() { w.checkAnswers(c) })
}

// reconnectDelay is after how long a caller tries the next address.
const reconnectDelay = 200 * time.Millisecond

// submitElsewhere lets a caller that reached nobody try another address.
func (w *World) submitElsewhere(c *Client) {
	c.Tries--
	w.Submit(c)
}

// submitAt submits a request to its owner. It reports false if the owner can't be
// reached, or does not know yet that it is the owner.
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
		if s.Problem != nil && s.Problem.Code == core.CodeSlot && c.slotRetries < maxSlotRetries {
			w.retrySlot(c, h)
			return true
		}
		if s.Problem != nil {
			w.checkProblem(c, s.Problem)
			return s.Problem.Code != core.CodeSlot
		}
		if s.Owner.IsZero() {
			w.clients[request.Identity] = c
			return true
		}
		h = w.reachableHost(h.VM, s.Owner.VM)
	}
	return false
}

// How a gateway looks for the owner of a request.
const (
	// maxRedirects bounds how often the request is passed on.
	maxRedirects = 4

	// maxSlotRetries bounds how often it looks again while the slot is changing
	// hands, movePause is the time between two looks.
	maxSlotRetries = 15
	slotRetryDelay = 100 * time.Millisecond
)

// retrySlot submits a request again that was given back.
func (w *World) retrySlot(c *Client, h *Host) {
	c.slotRetries++
	w.After(slotRetryDelay, func() { w.submitAt(c, h) })
}

// handleFinish takes in a final answer. One that only says that the slot is changing
// hands makes the gateway look for the owner again.
func (w *World) handleFinish(h *Host, id waxwingwall.Identity, end waxwingwall.End) {
	c := w.clients[id]
	if c != nil && end.Problem != nil && end.Problem.Code == core.CodeSlot && c.slotRetries < maxSlotRetries {
		w.retrySlot(c, h)
		return
	}
	w.Answers[id] = append(w.Answers[id], end)
	if w.KillOnAnswer && end.Problem == nil {
		w.KillOnAnswer = false
		h.Dead = true
	}
}

// reachableHost returns the router of a VM if it can be reached from another.
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

// checkProblem checks what a client is told when its request is given up on.
func (w *World) checkProblem(c *Client, p *waxwingwall.Problem) {
	id := c.Request.Identity
	c.Codes = append(c.Codes, p.Code)
	if p.Outcome == waxwingwall.NotRun {
		c.NotRun = true
		if w.Runs[id] > 0 {
			w.Fail("%v: told not run (%s) after %d runs", id, p.Code, w.Runs[id])
		}
	}
	if p.RetryAfter <= 0 && p.Status == http.StatusServiceUnavailable {
		w.Fail("%v: %s without a time to come back", id, p.Code)
	}
}

// checkAnswers takes in the answer of an ask, and asks again without one.
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

// Settle ends all faults, lets everything come to rest, and drains all routers.
func (w *World) Settle() {
	w.Outage, w.AnswerLoss, w.MessageLoss, w.CrashProbability = false, 0, 0, 0
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

// Drain begins a graceful stop of a router.
func (w *World) Drain(h *Host) {
	for _, a := range h.Node.Drain(w.Now) {
		w.perform(h, h.Generation, a)
	}
}

// Audit compares the bills with what was run and with what was paid. Call it
// after Settle.
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

// auditClient compares what one client was told with the runs and the bills.
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
		w.Fail("%v: the last answer was not run, and it ran", id)
	}
}
