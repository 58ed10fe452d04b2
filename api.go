package waxwingwall

import (
	"context"
	"time"
)

// CallerRequest is what a caller asks for, as it came.
type CallerRequest struct {
	// Key is the caller's idempotency key; empty if there is none.
	Key string

	// Rank and Budget override the account's defaults; empty keeps them.
	Rank, Budget string

	// Service is set for a call of a plain service.
	Service bool

	// Model is the model, or the plain service.
	Model Model

	// Messages are the chat of a model request.
	Messages []Message

	// Body is what a plain service is sent.
	Body string

	// MaxOutput bounds the output; zero takes the configured default.
	MaxOutput Tokens
}

// Answer is the output of one request on its way to the caller.
type Answer interface {
	// ID names the request to the caller.
	ID() string

	// Next returns the next frames. The last ones come with an End. It fails
	// only when the context is done.
	Next(ctx context.Context) (Frames, error)

	// Close tells that the caller no longer reads. It must be called once.
	Close()
}

// CallerAPI is what a router does for callers.
type CallerAPI interface {
	// Account returns the client account that a bearer key belongs to. A
	// *Problem as error is the request's final answer: the key is unknown, or it
	// can't be judged yet.
	Account(key string) (Account, error)

	// Serve starts a request. A *Problem as error is its final answer.
	Serve(ctx context.Context, account Account, request CallerRequest) (Answer, error)

	// RequestStatus tells what became of a request of the account.
	RequestStatus(ctx context.Context, account Account, key string) (Status, error)

	// BodyTimeout is how long the body of a request may take to arrive.
	BodyTimeout() time.Duration

	// Addresses tells the account where to connect.
	Addresses(account Account) Addresses
}

// OperatorAPI is what a router does for operators.
type OperatorAPI interface {
	// IsOperator reports whether a bearer key is an operator's.
	IsOperator(key string) bool

	// Drain begins a graceful stop.
	Drain(ctx context.Context) error

	// DrainEndpoint sends nothing new to an endpoint, on any router.
	DrainEndpoint(ctx context.Context, e Endpoint) error

	// Dump returns the whole state as JSON.
	Dump(ctx context.Context) ([]byte, error)
}
