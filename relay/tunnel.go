package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/core/edge"
	"waxwingwall/io/origin"
	"waxwingwall/io/tunnel"
)

// errCutOff is the error of a tunnel to an endpoint that this router does not reach either.
var errCutOff = errors.New("cut off from the endpoint")

// serveTunnels listens for peers that are cut off from endpoints.
func (r *Relay) serveTunnels() error {
	if !r.settings.Tunnels.IsValid() {
		return nil
	}
	l, err := r.bind(r.ctx, r.settings.Tunnels.String(), 0)
	if err != nil {
		return trace.Wrap(err)
	}
	server, stop, err := tunnel.Serve(
		l,
		r.allowsTunnel,
		tunnel.WithDial(r.dialForPeer),
		tunnel.WithOnCopied(r.link.add),
		tunnel.WithAcceptFailed(r.logAcceptFailed(r.settings.Tunnels)),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	r.tunnels = server
	r.closers = append(r.closers, stop)
	return nil
}

// allowsTunnel reports whether an address is that of an endpoint.
func (r *Relay) allowsTunnel(to netip.AddrPort) bool {
	_, ok := r.sharedState.Load().paths[to]
	return ok
}

// dialForPeer makes a connection to an endpoint that a peer does not reach.
func (r *Relay) dialForPeer(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !r.sharedState.Load().paths[to] {
		return nil, errCutOff
	}
	return r.dial(ctx, network, address)
}

// probeTunnel makes a tunnel through a peer; the pool keeps it for a later request.
func (r *Relay) probeTunnel(a edge.ProbeTunnel) {
	began := time.Now()
	err := r.origins.PreconnectVia(r.ctx, a.Via, a.Address, 0)
	r.postEvent(edge.TunnelProbed{
		Peer:       a.Peer,
		Address:    a.Address,
		Took:       time.Since(began),
		Reached:    err == nil,
		PeerFailed: errors.Is(err, origin.ErrVia),
	})
}

// finishTunnels waits at a graceful stop until peers have closed their tunnels, but not
// longer than its grace period.
func (r *Relay) finishTunnels(end time.Time) {
	if r.tunnels == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, time.Until(end)-exitReserve)
	defer cancel()
	if err := r.tunnels.Shutdown(ctx); err != nil {
		r.log.WithError(err).WithField("tunnels", r.tunnels.Open()).Warning("tunnels_unfinished")
	}
}
