package core

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/address"
	"waxwingwall/core/claim"
)

// Ready reports whether the node accepts requests: it is configured and registered,
// knows the owners of the slots, and is neither draining nor closed.
func (n *Node) Ready() bool {
	return n.document.Version > 0 && n.Ledger.Ready() && !n.draining && !n.closed
}

// Addresses returns the routers that a client account should connect to.
func (n *Node) Addresses(now time.Time, account waxwingwall.Account) waxwingwall.Addresses {
	a, _ := n.document.Account(account)
	peers := append(n.View.Peers(now), n.View.Self())
	list := address.Select(now, peers, account, n.Ledger.Owners(account, a.Spread))
	addresses := waxwingwall.Addresses{
		Lifetime: list.Lifetime,
	}
	for _, entry := range list.Addresses {
		addresses.Addresses = append(addresses.Addresses, waxwingwall.Address{
			Address: entry.Address.String(),
			Domain:  entry.Domain,
		})
	}
	return addresses
}

// Status returns the status of a request as far as this node knows it.
func (n *Node) Status(id waxwingwall.Identity, spread int) waxwingwall.Status {
	if n.requests[id] != nil {
		return waxwingwall.Status{
			Known:   true,
			Outcome: waxwingwall.Running,
		}
	}
	v := n.Ledger.Status(id, spread)
	switch v.Kind {
	case claim.Redirect:
		return waxwingwall.Status{
			Owner: v.Owner,
		}
	case claim.Attached:
		return waxwingwall.Status{
			Known:   true,
			Outcome: waxwingwall.Running,
		}
	case claim.Finished:
		return waxwingwall.Status{
			Known:   true,
			Outcome: v.Result.Outcome,
			Tokens:  v.Result.Tokens,
		}
	}
	return waxwingwall.Status{}
}
