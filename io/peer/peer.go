// Package peer connects routers over net/rpc.
//
// A router serves its peers on one listener and keeps one connection to each
// peer. It carries two kinds of calls: messages between the decision logic of
// two routers, which may be lost or duplicated, and requests forwarded to the
// owner of their slot. A connection that does not answer within the timeout is
// closed and replaced, because an open connection can stop working permanently
// while new ones work.
//
// With a TLS configuration, both sides present certificates of the same
// authority.
package peer

import (
	"context"
	"encoding/gob"

	"waxwingwall"
)

// Register registers with gob the types that may be the Message of an Envelope.
// Every router registers the same types before it serves.
func Register(messages ...any) {
	for _, m := range messages {
		gob.Register(m)
	}
}

// Envelope carries a message between the decision logic of two routers.
type Envelope struct {
	// From is the sender.
	From waxwingwall.Incarnation

	// To is the destination; any other incarnation drops the message. A zero boot
	// time addresses whichever incarnation runs on the VM.
	To waxwingwall.Incarnation

	// Message is a value of a registered type.
	Message any
}

// Receiver receives messages from peers.
type Receiver interface {
	// Receive handles a message. It does not block.
	Receive(e Envelope)
}

// Handler serves the calls of peers.
type Handler interface {
	waxwingwall.Owner
	Receiver
}

// SubmitArgs are the arguments of Submit.
type SubmitArgs struct {
	// Request is the request.
	Request waxwingwall.Request
}

// NextArgs are the arguments of Next.
type NextArgs struct {
	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Offset is the first frame to return.
	Offset int
}

// StatusArgs are the arguments of Status.
type StatusArgs struct {
	// Identity identifies the request.
	Identity waxwingwall.Identity

	// Spread is the number of slots of its account.
	Spread int
}

// Nothing is an empty reply.
type Nothing struct {
	// Unused is needed because gob can't encode a struct without exported fields.
	Unused bool
}

// messages is the net/rpc receiver of a router that takes messages only. Its
// methods have the signature that net/rpc requires.
type messages struct {
	r Receiver
}

func (m *messages) Messages(batch []Envelope, _ *Nothing) error {
	for _, e := range batch {
		m.r.Receive(e)
	}
	return nil
}

// service is the net/rpc receiver of a router that also takes requests.
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
