package waxwingwall

import (
	"context"
	"time"
)

// Message is one chat message.
type Message struct {
	// Role is system, user or assistant.
	Role string `json:"role"`

	// Content is the text.
	Content string `json:"content"`
}

// Request is a checked and priced request of a client account. It is immutable
// once created; peers forward it unchanged.
type Request struct {
	// Identity identifies the request.
	Identity Identity

	// Keyed is set if the caller supplied the idempotency key and can therefore
	// repeat the request.
	Keyed bool

	// Idempotent is set if the request may safely run more than once.
	Idempotent bool

	// Service is set for a call of a plain service.
	Service bool

	// Model names the model or the plain service.
	Model Model

	// Messages are the chat messages of a model request.
	Messages []Message

	// Body is the request body of a plain service.
	Body string

	// Rank is the urgency of the request.
	Rank Rank

	// Budget is the budget that is charged.
	Budget Budget

	// Spread is the number of slots that the account uses, a power of two.
	Spread int

	// Prompt is the price of the input, at least 1.
	Prompt Tokens

	// MaxOutput limits the output. The worst-case price is Prompt plus MaxOutput.
	MaxOutput Tokens

	// Digest is a hash of the content. Two contents under one key are an error.
	Digest uint64

	// Prefix holds the chained hashes of the prompt's blocks, the longest prefix
	// last.
	Prefix []uint64

	// Prior is the output that the caller already has when another owner resumes
	// the request, PriorVersion the version of the endpoints that produced it.
	Prior        []Frame
	PriorVersion string
}

// WorstCase returns the most that r can cost.
func (r *Request) WorstCase() Tokens {
	return r.Prompt + r.MaxOutput
}

// Frame is one unit of output: the text of one token.
type Frame struct {
	// Text is the token's text.
	Text string
}

// Finish reasons of an answer.
const (
	// FinishStop means that the model ended the answer.
	FinishStop = "stop"

	// FinishLength means that the answer reached MaxOutput.
	FinishLength = "length"
)

// End is the final part of an answer.
type End struct {
	// Problem is nil if the answer is complete.
	Problem *Problem

	// Finish is FinishStop or FinishLength if the answer is complete. An End with neither
	// Problem nor Finish does not say how the answer ended.
	Finish string

	// Prompt and Output are the billed input and output tokens.
	Prompt, Output Tokens

	// Body is the response body of a plain service.
	Body string
}

// Frames is the output of a request from an offset on.
type Frames struct {
	// Frames is empty if no output arrived in time.
	Frames []Frame

	// Version is the version of the endpoints that produced the output.
	Version string

	// End is set with the last frames.
	End *End
}

// Submitted is the result of Submit.
type Submitted struct {
	// Owner is set if another incarnation owns the request; the call must be
	// repeated there.
	Owner Incarnation

	// Problem is set if the request was refused.
	Problem *Problem
}

// Owner runs the requests of the slots that it owns. It is this router or a
// peer.
type Owner interface {
	// Submit starts a request, or attaches to it if it is already running. It
	// fails only if the peer does not respond.
	Submit(ctx context.Context, r *Request) (Submitted, error)

	// Next returns the output from frame offset on. It waits a limited time for
	// new output.
	Next(ctx context.Context, id Identity, offset int) (Frames, error)

	// Leave reports that the caller no longer reads.
	Leave(ctx context.Context, id Identity) error

	// Status returns the status of a request.
	Status(ctx context.Context, id Identity, spread int) (Status, error)
}

// Status is the status of a request.
type Status struct {
	// Owner is set if another incarnation owns the request; the call must be
	// repeated there.
	Owner Incarnation

	// Known is set if this router knows the request.
	Known bool

	// Outcome is Running until the request is settled.
	Outcome Outcome

	// Tokens is the billed amount.
	Tokens Tokens
}

// Address is the address of a router that a caller may connect to.
type Address struct {
	// Address is an IP address and port of the caller API.
	Address string

	// Domain is the failure domain of its VM.
	Domain Domain
}

// Addresses is the list of routers recommended to a caller.
type Addresses struct {
	// Addresses are ordered best first and spread over failure domains.
	Addresses []Address

	// Lifetime is how long the caller may cache the list.
	Lifetime time.Duration
}
