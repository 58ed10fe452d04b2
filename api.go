package waxwingwall

import (
	"context"
	"time"
)

// CallerRequest is a caller's request before it is checked and priced.
type CallerRequest struct {
	// Key is the caller's idempotency key; empty if there is none.
	Key string

	// Rank and Budget override the account's defaults; empty selects the
	// default.
	Rank, Budget string

	// Service is set for a call of a plain service.
	Service bool

	// Model names the model or the plain service.
	Model Model

	// Messages are the chat messages of a model request.
	Messages []Message

	// Body is the request body of a plain service.
	Body string

	// MaxOutput limits the output; zero selects the configured default.
	MaxOutput Tokens
}

// Answer streams the output of one request to the caller.
type Answer interface {
	// ID returns the request ID that the caller sees.
	ID() string

	// Next waits for output and returns the next frames. The last call's Frames
	// have End set. Next fails only when the context is done.
	Next(ctx context.Context) (Frames, error)

	// Close reports that the caller no longer reads. It must be called once.
	Close()
}

// CallerAPI is the router's interface for callers.
type CallerAPI interface {
	// Account returns the client account of a bearer key. An error of type
	// *Problem is the final answer to the request: the key is unknown, or it can't
	// be checked yet.
	Account(key string) (Account, error)

	// Serve starts a request. An error of type *Problem is its final answer.
	Serve(ctx context.Context, account Account, request CallerRequest) (Answer, error)

	// RequestStatus returns the status of a request of the account.
	RequestStatus(ctx context.Context, account Account, key string) (Status, error)

	// BodyTimeout returns the longest time that a request body may take to arrive.
	BodyTimeout() time.Duration

	// Addresses returns the routers that the account should connect to.
	Addresses(account Account) Addresses
}

// OperatorAPI is the router's interface for operators.
type OperatorAPI interface {
	// IsOperator reports whether a bearer key belongs to an operator.
	IsOperator(key string) bool

	// Drain starts a graceful stop of the router.
	Drain(ctx context.Context) error

	// DrainEndpoint stops all routers from sending new requests to an endpoint.
	DrainEndpoint(ctx context.Context, e Endpoint) error

	// Dump returns the router's complete state as JSON.
	Dump(ctx context.Context) ([]byte, error)
}
