package waxwingwall

import (
	"context"
	"time"
)

// Message is one message of a chat.
type Message struct {
	// Role is system, user or assistant.
	Role string `json:"role"`

	// Content is the text.
	Content string `json:"content"`
}

// Request is one request of a client account, checked and priced. Its fields
// do not change once it is made; peers pass it on as it is.
type Request struct {
	// Identity names the request.
	Identity Identity

	// Keyed is set if the caller brought the key, so that it may ask again.
	Keyed bool

	// Idempotent is set if running it twice does no harm.
	Idempotent bool

	// Service is set for a call of a plain service.
	Service bool

	// Model is the model, or the plain service.
	Model Model

	// Messages are the chat of a model request.
	Messages []Message

	// Body is what a plain service is sent.
	Body string

	// Rank is the rank of work.
	Rank Rank

	// Budget is charged.
	Budget Budget

	// Spread is the number of slots that the account uses, a power of two.
	Spread int

	// Prompt is the price of the input: at least 1.
	Prompt Tokens

	// MaxOutput bounds the output. Prompt plus MaxOutput is the worst case.
	MaxOutput Tokens

	// Digest is a hash of the content; one key with two contents is an error.
	Digest uint64

	// Prefix is a chain of hashes of the prompt's blocks, the longest last.
	Prefix []uint64

	// Prior is the output that the caller already has, when the request goes
	// on at another owner.
	Prior []Frame
}

// WorstCase is the most that r can cost.
func (r *Request) WorstCase() Tokens {
	return r.Prompt + r.MaxOutput
}

// Frame is a piece of output: one token of text.
type Frame struct {
	// Text is the token's text.
	Text string
}

// Finish reasons of an answer.
const (
	// FinishStop means that the model ended the answer.
	FinishStop = "stop"

	// FinishLength means that the answer reached its limit.
	FinishLength = "length"
)

// End closes an answer. Problem is nil when the answer is whole.
type End struct {
	// Problem is set if the request has no whole answer.
	Problem *Problem

	// Finish is FinishStop or FinishLength.
	Finish string

	// Prompt and Output are the tokens billed.
	Prompt, Output Tokens

	// Body is the answer of a plain service.
	Body string
}

// Frames is a run's output from an offset on.
type Frames struct {
	// Frames may be empty when nothing came in time.
	Frames []Frame

	// End is set with the last frames.
	End *End
}

// Submitted answers Submit.
type Submitted struct {
	// Owner is set if another incarnation must be asked.
	Owner Incarnation

	// Problem is set if the request was given up on.
	Problem *Problem
}

// Owner runs requests: this router, or a peer that owns a request's slot.
type Owner interface {
	// Submit starts a request, or attaches to it if it runs already. It fails
	// only if the peer did not answer.
	Submit(ctx context.Context, r *Request) (Submitted, error)

	// Next returns the output from frame offset on, waiting a while for it.
	Next(ctx context.Context, id Identity, offset int) (Frames, error)

	// Leave tells that the caller no longer reads.
	Leave(ctx context.Context, id Identity) error

	// Status returns what is known of a request.
	Status(ctx context.Context, id Identity, spread int) (Status, error)
}

// Status tells what became of a request.
type Status struct {
	// Owner is set if another incarnation must be asked.
	Owner Incarnation

	// Known is set if the request is known here.
	Known bool

	// Outcome is Running until the request is settled.
	Outcome Outcome

	// Tokens is what it was billed.
	Tokens Tokens
}

// Address is one answer to a caller that asks where to connect.
type Address struct {
	// Address is an IP address and port of the caller API.
	Address string

	// Domain is the failure domain of its VM.
	Domain Domain
}

// Addresses is advice to a caller, best first.
type Addresses struct {
	// Addresses spread over failure domains.
	Addresses []Address

	// Lifetime is how long the advice may be kept.
	Lifetime time.Duration
}
