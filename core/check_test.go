package core_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/config"
)

func testDocument() *config.Document {
	return &config.Document{
		Limits: config.Limits{
			MaxPrompt:     1000,
			MaxOutput:     500,
			DefaultOutput: 100,
		},
		Ranks: []config.Rank{
			{
				Name: "urgent",
			},
		},
		Accounts: []config.Account{
			{
				Name:   "shop",
				Rank:   "urgent",
				Budget: "shop-main",
				Spread: 1,
			},
		},
		Budgets: []config.Budget{
			{
				Name:    "other-main",
				Account: "other",
			},
			{
				Name:    "shop-main",
				Account: "shop",
			},
		},
		Endpoints: []config.Endpoint{
			{
				Name:    "e1",
				Address: netip.MustParseAddrPort("127.0.0.1:1"),
				Kind:    config.ModelKind,
				Models:  []waxwingwall.Model{"small"},
			},
			{
				Name:    "s1",
				Address: netip.MustParseAddrPort("127.0.0.1:2"),
				Kind:    config.ServiceKind,
				Models:  []waxwingwall.Model{"orders"},
				Price:   7,
			},
		},
	}
}

func TestCheckRejects(t *testing.T) {
	chat := func(text string) []waxwingwall.Message {
		return []waxwingwall.Message{
			{
				Role:    "user",
				Content: text,
			},
		}
	}
	for name, c := range map[string]struct {
		account waxwingwall.Account
		in      waxwingwall.CallerRequest
		status  int
		code    string
	}{
		"unknown account": {account: "none", status: http.StatusForbidden, code: "unknown_account"},
		"unknown model":   {account: "shop", in: waxwingwall.CallerRequest{Model: "huge", Messages: chat("hi")}, status: http.StatusNotFound, code: "unknown_model"},
		"unknown service": {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Service: true}, status: http.StatusNotFound, code: "unknown_service"},
		"unknown rank":    {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Rank: "vip"}, status: http.StatusBadRequest, code: "unknown_rank"},
		"foreign budget":  {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Budget: "other-main"}, status: http.StatusForbidden, code: "unknown_budget"},
		"long prompt":     {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Messages: chat(strings.Repeat("x", 4001))}, status: http.StatusRequestEntityTooLarge, code: "prompt_too_long"},
		"negative limit":  {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Messages: chat("hi"), MaxOutput: -1}, status: http.StatusBadRequest, code: "bad_max_tokens"},
		"excessive limit": {account: "shop", in: waxwingwall.CallerRequest{Model: "small", Messages: chat("hi"), MaxOutput: 501}, status: http.StatusBadRequest, code: "bad_max_tokens"},
	} {
		_, p := core.Check(testDocument(), c.account, c.in)
		if p == nil || p.Status != c.status || p.Code != c.code || p.Outcome != waxwingwall.NotRun {
			t.Errorf("%s: got %+v, want status %d, code %s, not run", name, p, c.status, c.code)
		}
	}
}

// TestCheckPrices checks that the worst case covers at least the size of the prompt
// and one output token, that repeats have equal digests, and that prompts with a
// common prefix share the beginning of their prefix chains.
func TestCheckPrices(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		common := rapid.StringN(0, 900, 900).Draw(rt, "common")
		in := waxwingwall.CallerRequest{
			Model:     "small",
			MaxOutput: waxwingwall.Tokens(rapid.IntRange(0, 500).Draw(rt, "max")),
			Messages: []waxwingwall.Message{
				{
					Role:    "user",
					Content: common + rapid.StringN(0, 50, 100).Draw(rt, "rest"),
				},
			},
		}
		a, p := core.Check(testDocument(), "shop", in)
		if p != nil {
			rt.Fatalf("rejected: %v", p)
		}
		if a.Prompt < 1 || a.MaxOutput < 1 || int(a.Prompt)*4 < len(in.Messages[0].Content) {
			rt.Fatalf("prompt %d and output %d for %d bytes", a.Prompt, a.MaxOutput, len(in.Messages[0].Content))
		}
		if repeat, _ := core.Check(testDocument(), "shop", in); repeat.Digest != a.Digest {
			rt.Fatalf("a repeat has a different digest")
		}
		in.Messages = []waxwingwall.Message{
			{
				Role:    "user",
				Content: common + "another end of this prompt",
			},
		}
		b, _ := core.Check(testDocument(), "shop", in)
		for i := range len(common) / 256 {
			if a.Prefix[i] != b.Prefix[i] {
				rt.Fatalf("block %d differs", i)
			}
		}
	})
}
