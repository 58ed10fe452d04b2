// Package waxwingwall is the root of a router fleet for prepaid token budgets.
//
// A router takes requests from client accounts, charges them to prepaid
// budgets and runs them on endpoints. Every router is the same program; what
// has to last lives in the platform's table and object store. This package
// holds the words that all parts share: identifiers, quantities, outcomes, and
// the interfaces behind which the outside systems stand.
//
// The decision logic is in package core and below it. It does no I/O: time and
// events go in, actions come out. The adapters are below package io, each
// named for the peer or protocol it speaks to.
package waxwingwall

import (
	"fmt"
	"strings"
	"time"
)

type (
	// VM names one virtual machine of the operator.
	VM string

	// Domain names a failure domain: VMs and endpoints that fail together.
	Domain string

	// Account names a client account.
	Account string

	// Budget names a prepaid budget.
	Budget string

	// Endpoint names one replica of a model or of a plain service.
	Endpoint string

	// Model names a model, or a plain service, that endpoints serve.
	Model string

	// Tokens counts tokens. It is the unit of budgets and bills.
	Tokens int64

	// Rank orders work by urgency. Zero is the most urgent.
	Rank int
)

// Incarnation names one life of a router: its VM and the time it booted, in
// milliseconds since the Unix epoch. Two lives never share an Incarnation,
// because a router registers its own in the table before it uses it.
type Incarnation struct {
	// VM is where the router runs.
	VM VM `json:"vm"`

	// Boot is the boot time in milliseconds since the Unix epoch.
	Boot int64 `json:"boot"`
}

// String returns the form used in table keys: "vm@boot".
func (i Incarnation) String() string {
	return fmt.Sprintf("%s@%d", i.VM, i.Boot)
}

// IsZero reports whether i names no incarnation.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// ParseIncarnation reads the form written by String.
func ParseIncarnation(s string) (Incarnation, error) {
	at := strings.LastIndexByte(s, '@')
	if at < 1 {
		return Incarnation{}, fmt.Errorf("incarnation %q: want vm@boot", s)
	}
	var boot int64
	if _, err := fmt.Sscanf(s[at+1:], "%d", &boot); err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q: boot time: %w", s, err)
	}
	return Incarnation{
		VM:   VM(s[:at]),
		Boot: boot,
	}, nil
}

// Identity names a request. Two requests with one Identity are the same
// request, asked again.
type Identity struct {
	// Account is the client account that asks.
	Account Account `json:"account"`

	// Key is the caller's idempotency key, or one made by a router.
	Key string `json:"key"`
}

// Outcome is what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// Running means that the request has no outcome yet.
	Running Outcome = "running"

	// Ran means that the request ran to its end.
	Ran Outcome = "ran"

	// NotRun means that no endpoint ever began to run it, and that none will
	// under this attempt.
	NotRun Outcome = "not_run"

	// Unknown means that an endpoint may have run it.
	Unknown Outcome = "unknown"
)

// Problem is the final answer to a request that was not served.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`

	// Code is a stable reason in snake case.
	Code string `json:"code"`

	// Message is for people.
	Message string `json:"message"`

	// Outcome tells whether the request ran.
	Outcome Outcome `json:"outcome"`

	// RetryAfter is when to come back; zero means that coming back is no use.
	RetryAfter time.Duration `json:"retry_after"`
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Code + ": " + p.Message
}
