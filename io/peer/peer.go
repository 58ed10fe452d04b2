// Package peer speaks to other routers over net/rpc.
//
// A router serves its peers on one listener and keeps one connection to each
// peer it speaks to. Two kinds of calls go over it: messages between the
// decision logic of two routers, which may be lost or repeated, and the
// requests that one router passes to the owner of their slot. A connection
// that does not answer within the timeout is closed and made anew, because an
// open connection can go silent for good while new ones work.
//
// With a TLS configuration both sides show certificates of the same authority.
package peer

import (
	"context"
	"encoding/gob"

	"waxwingwall"
)

// Register makes the types known that travel as the Message of an envelope.
// Every router registers the same ones before it serves.
func Register(messages ...any) {
	for _, m := range messages {
		gob.Register(m)
	}
}

// Envelope carries a message between the decision logic of two routers.
type Envelope struct {
	// From is the sender.
	From waxwingwall.Incarnation

	// To is whom it is meant for; any other incarnation drops it. A zero boot
	// time means whichever incarnation runs on the VM.
	To waxwingwall.Incarnation

	// Message is one of the registered types.
	Message any
}

// Receiver takes messages of peers.
type Receiver interface {
	// Receive takes a message. It does not wait.
	Receive(e Envelope)
}

// Handler is what a router does for its peers.
type Handler interface {
	waxwingwall.Owner
	Receiver
}

// SubmitArgs asks the receiver to run a request.
type SubmitArgs struct {
	// Request is the request.
	Request waxwingwall.Request
}

// NextArgs asks for output.
type NextArgs struct {
	// Identity names the request.
	Identity waxwingwall.Identity

	// Offset is the first frame wanted.
	Offset int
}

// StatusArgs asks what became of a request.
type StatusArgs struct {
	// Identity names the request.
	Identity waxwingwall.Identity

	// Spread is the number of slots of its account.
	Spread int
}

// Nothing is an empty reply.
type Nothing struct {
	// Unused keeps the type encodable.
	Unused bool
}

// messages is the receiver that net/rpc sees where only messages are taken. Its
// methods have the shape that net/rpc asks for.
type messages struct {
	r Receiver
}

func (m *messages) Messages(batch []Envelope, _ *Nothing) error {
	for _, e := range batch {
		m.r.Receive(e)
	}
	return nil
}

// service is the receiver that net/rpc sees where requests are taken as well.
type service struct {
	*messages
	h   Handler
	ctx context.Context
}

func (s *service) Submit(a SubmitArgs, r *waxwingwall.Submitted) (err error) {
	*r, err = s.h.Submit(s.ctx, &a.Request)
	return err
}

func (s *service) Next(a NextArgs, r *waxwingwall.Frames) (err error) {
	*r, err = s.h.Next(s.ctx, a.Identity, a.Offset)
	return err
}

func (s *service) Leave(id waxwingwall.Identity, _ *Nothing) error {
	return s.h.Leave(s.ctx, id)
}

func (s *service) Status(a StatusArgs, r *waxwingwall.Status) (err error) {
	*r, err = s.h.Status(s.ctx, a.Identity, a.Spread)
	return err
}
