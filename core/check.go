package core

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/config"
)

// Constants for pricing and hashing prompts.
const (
	// bytesPerToken is the number of prompt bytes that are charged as one token.
	bytesPerToken = 4

	// prefixBlockBytes is the block length of a prompt's prefix hash chain.
	prefixBlockBytes = 256
)

// Check validates a caller's request and returns the priced request, or a Problem
// that describes why it is invalid.
func Check(d *config.Document, account waxwingwall.Account, in waxwingwall.CallerRequest) (*waxwingwall.Request, *waxwingwall.Problem) {
	a, ok := d.Account(account)
	if !ok {
		return nil, invalid(http.StatusForbidden, "unknown_account", "client account %q is not configured", account)
	}
	r := &waxwingwall.Request{
		Identity: waxwingwall.Identity{
			Account: account,
			Key:     in.Key,
		},
		Keyed:    in.Key != "",
		Service:  in.Service,
		Model:    in.Model,
		Messages: in.Messages,
		Body:     in.Body,
		Spread:   a.Spread,
	}
	if p := checkRank(d, a, in.Rank, r); p != nil {
		return nil, p
	}
	if p := checkBudget(d, a, in.Budget, r); p != nil {
		return nil, p
	}
	if in.Service {
		return r, checkService(d, r)
	}
	return r, checkModel(d, in, r)
}

// checkRank sets the requested rank, or the account's default.
func checkRank(d *config.Document, a config.Account, name string, r *waxwingwall.Request) *waxwingwall.Problem {
	if name == "" {
		name = a.Rank
	}
	rank, ok := d.Rank(name)
	if !ok {
		return invalid(http.StatusBadRequest, "unknown_rank", "rank %q is not configured", name)
	}
	r.Rank = rank.Level
	return nil
}

// checkBudget sets the requested budget, or the account's default. The budget must
// belong to the account.
func checkBudget(d *config.Document, a config.Account, name string, r *waxwingwall.Request) *waxwingwall.Problem {
	r.Budget = a.Budget
	if name != "" {
		r.Budget = waxwingwall.Budget(name)
	}
	b, ok := d.Budget(r.Budget)
	if !ok || b.Account != a.Name {
		return invalid(http.StatusForbidden, "unknown_budget", "client account %q has no budget %q", a.Name, r.Budget)
	}
	return nil
}

// checkService prices a call of a plain service at the highest price of the
// endpoints that serve it. The call is idempotent only if all of them are.
func checkService(d *config.Document, r *waxwingwall.Request) *waxwingwall.Problem {
	serving := d.Serving(config.ServiceKind, r.Model)
	if len(serving) == 0 {
		return invalid(http.StatusNotFound, "unknown_service", "no endpoint serves %q", r.Model)
	}
	r.Idempotent = true
	for _, e := range serving {
		r.Prompt = max(r.Prompt, e.Price, 1)
		r.Idempotent = r.Idempotent && e.Idempotent
	}
	r.Digest = digest(r)
	return nil
}

// checkModel prices a model request and checks it against the limits.
func checkModel(d *config.Document, in waxwingwall.CallerRequest, r *waxwingwall.Request) *waxwingwall.Problem {
	if len(d.Serving(config.ModelKind, r.Model)) == 0 {
		return invalid(http.StatusNotFound, "unknown_model", "no endpoint serves %q", r.Model)
	}
	r.Idempotent = true
	r.Prompt = promptPrice(r.Messages)
	if r.Prompt > d.Limits.MaxPrompt {
		return invalid(http.StatusRequestEntityTooLarge, "prompt_too_long", "the prompt has %d tokens, the limit is %d", r.Prompt, d.Limits.MaxPrompt)
	}
	r.MaxOutput = in.MaxOutput
	if r.MaxOutput == 0 {
		r.MaxOutput = d.Limits.DefaultOutput
	}
	if r.MaxOutput < 1 || r.MaxOutput > d.Limits.MaxOutput {
		return invalid(http.StatusBadRequest, "bad_max_tokens", "max_tokens is %d, it must be from 1 to %d", r.MaxOutput, d.Limits.MaxOutput)
	}
	r.Digest = digest(r)
	r.Prefix = prefixChain(r)
	return nil
}

// invalid returns the Problem for a request that can't be served unless the caller
// or the configuration changes.
func invalid(status int, code, format string, args ...any) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  status,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Outcome: waxwingwall.NotRun,
	}
}

// promptPrice charges one token per bytesPerToken bytes, rounded up.
func promptPrice(messages []waxwingwall.Message) waxwingwall.Tokens {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Content)
	}
	return max(1, waxwingwall.Tokens((bytes+bytesPerToken-1)/bytesPerToken))
}

// digest hashes all fields that must match in a repeat of a request.
func digest(r *waxwingwall.Request) uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%t %q %q %d %q", r.Service, r.Model, r.Body, r.MaxOutput, r.Budget)
	for _, m := range r.Messages {
		_, _ = fmt.Fprintf(h, " %q %q", m.Role, m.Content)
	}
	return h.Sum64()
}

// prefixChain returns the hash of each prefix of the prompt that consists of whole
// blocks.
func prefixChain(r *waxwingwall.Request) []uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%q", r.Model)
	var chain []uint64
	filled := 0
	for _, m := range r.Messages {
		text := m.Content
		for len(text) > 0 {
			n := min(len(text), prefixBlockBytes-filled)
			_, _ = h.WriteString(text[:n])
			text = text[n:]
			filled += n
			if filled == prefixBlockBytes {
				chain = append(chain, h.Sum64())
				filled = 0
			}
		}
	}
	return chain
}
