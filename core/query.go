package core

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/address"
	"waxwingwall/core/claim"
)

// Ready reports whether the node takes requests: it is configured, registered,
// and knows who owns the slots.
func (n *Node) Ready() bool {
	return n.document.Version > 0 && n.Ledger.Ready() && !n.draining && !n.closed
}

// Addresses tells a client account where to connect.
func (n *Node) Addresses(now time.Time, account waxwingwall.Account) waxwingwall.Addresses {
	a, _ := n.document.Account(account)
	peers := append(n.View.Peers(now), n.View.Self())
	list := address.Select(now, peers, account, n.Ledger.Owners(account, a.Spread))
	out := waxwingwall.Addresses{
		Lifetime: list.Lifetime,
	}
	for _, one := range list.Addresses {
		out.Addresses = append(out.Addresses, waxwingwall.Address{
			Address: one.Address.String(),
			Domain:  one.Domain,
		})
	}
	return out
}

// Status tells what is known of a request.
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
