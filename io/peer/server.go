package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/gravitational/trace"

	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
)

// serviceName is the name of the net/rpc service.
const serviceName = "Peer"

// ServeOption configures Serve and ServeMessages.
type ServeOption func(*acceptor)

// WithAcceptFailed sets a function that is told of accepts that fail. They are tried again.
func WithAcceptFailed(report tcp.AcceptFailed) ServeOption {
	return func(a *acceptor) {
		a.acceptFailed = report
	}
}

// Serve serves peers on l until the returned function is called. Connections
// use TLS unless tc is nil.
func Serve(l net.Listener, h Handler, tc *tls.Config, opts ...ServeOption) (func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	stop, err := serve(l, &service{
		messages: &messages{
			r: h,
		},
		h:   h,
		ctx: ctx,
	}, tc, opts)
	if err != nil {
		cancel()
		return nil, err
	}
	return func() {
		cancel()
		stop()
	}, nil
}

// ServeMessages is like Serve for a router that takes messages only.
func ServeMessages(l net.Listener, r Receiver, tc *tls.Config, opts ...ServeOption) (func(), error) {
	return serve(l, &messages{
		r: r,
	}, tc, opts)
}

// serve registers receiver with net/rpc and serves l.
func serve(l net.Listener, receiver any, tc *tls.Config, opts []ServeOption) (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return nil, trace.Wrap(err)
	}
	a := acceptor{
		open:      make(map[net.Conn]struct{}),
		receiving: quota.New(maxReceivedBytes),
		calls:     quota.New(maxCallBytes),
	}
	for _, o := range opts {
		o(&a)
	}
	l = tcp.KeepAccepting(l, a.acceptFailed)
	if tc != nil {
		l = tls.NewListener(l, tc)
	}
	a.done.Add(1)
	go a.accept(l, server)
	return func() {
		_ = l.Close()
		a.close()
		a.done.Wait()
	}, nil
}

// acceptor tracks the open connections of a listener, so that they can be
// closed with it. receiving bounds the calls that they are receiving, calls those in progress;
// acceptFailed may be nil.
type acceptor struct {
	receiving    *quota.Quota
	calls        *quota.Quota
	acceptFailed tcp.AcceptFailed

	mu   sync.Mutex
	open map[net.Conn]struct{}
	done sync.WaitGroup
}

// accept serves the connections of a listener that keeps accepting until it is closed.
func (a *acceptor) accept(l net.Listener, server *rpc.Server) {
	defer a.done.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.open[conn] = struct{}{}
		a.mu.Unlock()
		a.done.Add(1)
		go a.serve(conn, server)
	}
}

func (a *acceptor) serve(conn net.Conn, server *rpc.Server) {
	defer a.done.Done()
	server.ServeCodec(serverCodec{
		codec: newCodec(conn, a.receiving),
		calls: newCalls(a.calls),
	})
	a.mu.Lock()
	delete(a.open, conn)
	a.mu.Unlock()
}

func (a *acceptor) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.open {
		_ = conn.Close()
	}
}
