package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/config"
	"waxwingwall/fake"
)

// edits are changes of narrowDocument: each replaces a text by another one. They apply in
// this order.
var edits = [][2]string{
	{section("endpoint e1"), ""},
	{section("endpoint e2"), ""},
	{section("endpoint orders"), ""},
	{section("account small"), ""},
	{section("rank batch"), ""},
	{"first_token = 420ms", "first_token = 30ms"},
	{"between_tokens = 65ms", "between_tokens = 1ms"},
	{"max_output = 500", "max_output = 50"},
	{"concurrency = 1", "concurrency = 8"},
	{"spread = 4", "spread = 1"},
	{"domain = domain0\n", "domain = domain0\nversion = v2\n"},
	{"domain = domain1\n", "domain = domain1\nleaving = true\n"},
	{"idempotent = false", "idempotent = true"},
	{"level = 1\n", "level = 2\n"},
	{"worth = 1\n", "worth = 5\n"},
	{"models = m\n", "models = n\n"},
}

// narrowDocument is fleetDocument with so little room that requests queue.
var narrowDocument = strings.ReplaceAll(fleetDocument, "concurrency = 16", "concurrency = 1")

// section returns the text of a section of narrowDocument.
func section(name string) string {
	_, text, _ := strings.Cut(narrowDocument, "["+name+"]")
	text, _, _ = strings.Cut(text, "\n[")
	return "[" + name + "]" + text
}

// drawDocument draws a configuration: narrowDocument with a few edits.
func drawDocument(rt *rapid.T, i int) string {
	text := narrowDocument
	drawn := rapid.SliceOfNDistinct(rapid.IntRange(0, len(edits)-1), 0, 4, rapid.ID[int]).Draw(rt, fmt.Sprint("edits", i))
	slices.Sort(drawn)
	for _, n := range drawn {
		text = strings.ReplaceAll(text, edits[n][0], edits[n][1])
	}
	if !strings.Contains(text, "[rank batch]") {
		text = strings.ReplaceAll(text, "rank = batch", "rank = urgent")
	}
	if !strings.Contains(text, "[account small]") {
		text = strings.ReplaceAll(text, section("budget small-main"), "")
	}
	return fmt.Sprintf("# change %d\n%s", i, text)
}

// trouble is a trouble of the endpoints or of a router that ends.
func trouble(w *fake.World, kind int, at, length time.Duration) {
	h := w.Hosts[kind%len(w.Hosts)]
	e := waxwingwall.Endpoint([]string{"e1", "e2", "orders"}[kind%3])
	set := func(p *float64, v float64) {
		w.After(at, func() { *p = v })
		w.After(at+length, func() { *p = 0 })
	}
	switch kind / 3 {
	case 0, 1:
		w.After(at, func() { w.Silent[e] = true })
		w.After(at+length, func() { w.Silent[e] = false })
	case 2:
		set(&w.DeclineProbability, 0.5)
	case 3:
		set(&w.BreakProbability, 0.5)
	case 4:
		set(&w.CrashProbability, 0.5)
	case 5:
		set(&w.MessageLoss, 0.2)
	case 6:
		w.After(at, func() { h.Paused = true })
		w.After(at+min(length, 700*time.Millisecond), func() { w.Resume(h) })
	case 7, 8:
		w.After(at, func() { w.Drain(h) })
	case 9:
		w.After(at, func() { w.MessageDelay = length / 20 })
		w.After(at+length, func() { w.MessageDelay = 0 })
	case 10:
		pair := [2]waxwingwall.VM{h.VM, w.Hosts[(kind+1)%len(w.Hosts)].VM}
		w.After(at, func() { w.Partitioned[pair] = true })
		w.After(at+min(length, 2*time.Second), func() { w.Partitioned[pair] = false })
	}
}

const troubleKinds = 33

// TestChangesBesideTroubleEndEveryRequest guards against a request that an owner accepted
// and that ends never, twice, or as not run although it ran, because the configuration
// changes while it waits for its budget or an endpoint, is recorded, runs or is settled,
// beside silences, declines and breaks of endpoints.
func TestChangesBesideTroubleEndEveryRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := fake.New(3, rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
		document := w.Configure(narrowDocument)
		w.TopUp("large-main", "1", waxwingwall.Tokens(rapid.IntRange(100, 40000).Draw(rt, "large")))
		w.TopUp("small-main", "1", waxwingwall.Tokens(rapid.IntRange(100, 40000).Draw(rt, "small")))
		for _, h := range w.Hosts {
			w.Boot(h)
		}
		w.Run(5 * time.Second)
		w.MessageDelay = time.Duration(rapid.SampledFrom([]int{0, 20, 100}).Draw(rt, "delay")) * time.Millisecond
		for i := range rapid.IntRange(1, 6).Draw(rt, "changes") {
			text := drawDocument(rt, i)
			w.After(drawTime(rt, "change", i), func() { document = w.Configure(text) })
		}
		troubles := rapid.IntRange(0, 4).Draw(rt, "troubles")
		for i := range troubles {
			kind := rapid.IntRange(0, troubleKinds-1).Draw(rt, fmt.Sprint("kind", i))
			trouble(w, kind, drawTime(rt, "trouble", i), drawTime(rt, "length", i))
		}
		for n := range 300 {
			w.After(time.Duration(n)*20*time.Millisecond, func() { submit(w, document, n) })
		}
		w.Run(12 * time.Second)
		w.TickInterval = 500 * time.Millisecond
		w.Run(60 * time.Second)
		checkEnds(rt, w, troubles == 0)
	})
}

func drawTime(rt *rapid.T, what string, i int) time.Duration {
	return time.Duration(rapid.IntRange(0, 6000).Draw(rt, fmt.Sprint(what, i))) * time.Millisecond
}

// submit submits the n-th request, as the configuration in force allows it.
func submit(w *fake.World, d *config.Document, n int) {
	in := waxwingwall.CallerRequest{
		Key:       fmt.Sprint("key", n),
		Model:     "m",
		MaxOutput: 40,
		Messages:  []waxwingwall.Message{{Role: "user", Content: fmt.Sprint("question ", n)}},
	}
	if n%3 == 0 {
		in.Service, in.Model, in.Body = true, "orders", fmt.Sprint("order ", n)
	}
	account := waxwingwall.Account([]string{"large", "small"}[n%2])
	r, p := core.Check(d, account, in)
	if p != nil {
		return
	}
	w.Submit(&fake.Client{
		Request:  r,
		MaxTries: 1,
	})
}

// checkEnds checks that each accepted request has one end, and, if sound is set, that what
// ran has a whole answer. What was preempted may lose its rank or model before it runs on.
func checkEnds(rt *rapid.T, w *fake.World, sound bool) {
	for id, accepted := range w.Accepted {
		ends := w.Answers[id]
		if len(ends) != accepted {
			rt.Fatalf("%v: accepted %d times, %d runs, ends %+v", id, accepted, w.Runs[id], ends)
		}
		for _, end := range ends {
			if end.Problem == nil || w.Runs[id] == 0 {
				continue
			}
			if end.Problem.Outcome == waxwingwall.NotRun || sound && w.Cancelled[id] == 0 {
				rt.Fatalf("%v: %d runs, ends as %s (%s)", id, w.Runs[id], end.Problem.Code, end.Problem.Outcome)
			}
		}
	}
}
