// Package address selects the routers that callers should connect to.
//
// There is no load balancer in front of the fleet. A caller asks any router, caches
// the list for its lifetime and connects to a router of it directly. Select puts the
// owners of the client account's slots first, so that few routers draw on its
// budget. The others follow, each from the failure domain with the fewest routers in
// the list so far, so that a caller that tries the list in order soon reaches another
// domain when one has failed. Leaving and unreachable routers are omitted.
package address

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/member"
)

const (
	// DefaultLifetime is how long a list may be cached.
	DefaultLifetime = 30 * time.Second

	// ShortLifetime applies to a list that lacks an owner, because ownership is
	// about to change.
	ShortLifetime = 5 * time.Second

	// MaxAddresses is the maximum number of addresses in a list.
	MaxAddresses = 8

	// rotationPeriod is how often the order of the routers after the owners
	// changes, so that callers with the same list don't stay on the same routers.
	rotationPeriod = time.Hour
)

// Address is one router's address for callers.
type Address struct {
	// Address is where the router listens for callers.
	Address netip.AddrPort `json:"address"`

	// Domain is the router's failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// VM is the VM of the router.
	VM waxwingwall.VM `json:"vm"`
}

// List is the result of Select.
type List struct {
	// Addresses are in order of preference.
	Addresses []Address `json:"addresses"`

	// Lifetime is how long the list may be cached.
	Lifetime time.Duration `json:"lifetime"`
}

// Select returns the routers that a client account should connect to. The peers
// include the calling router; owners are the owners of the account's slots in order
// of preference. The result is deterministic.
func Select(now time.Time, peers []member.Peer, account waxwingwall.Account, owners []waxwingwall.Incarnation) List {
	usable := make([]member.Peer, 0, len(peers))
	for _, p := range peers {
		if p.Alive && !p.Suspect && p.Reachable && !p.Leaving && p.Callers.IsValid() {
			usable = append(usable, p)
		}
	}
	sortByHash(usable, account, now.Truncate(rotationPeriod).Unix())
	list := List{
		Lifetime: DefaultLifetime,
	}
	for _, owner := range owners {
		i := slices.IndexFunc(usable, func(p member.Peer) bool { return p.Incarnation == owner })
		if i < 0 {
			list.Lifetime = ShortLifetime
			continue
		}
		list.add(usable[i])
		usable = slices.Delete(usable, i, i+1)
	}
	for len(usable) > 0 && len(list.Addresses) < MaxAddresses {
		i := list.next(usable)
		list.add(usable[i])
		usable = slices.Delete(usable, i, i+1)
	}
	if len(list.Addresses) > MaxAddresses {
		list.Addresses = list.Addresses[:MaxAddresses]
	}
	return list
}

// sortByHash orders routers differently for each account and rotation period.
func sortByHash(peers []member.Peer, account waxwingwall.Account, period int64) {
	salt := string(account) + "/" + strconv.FormatInt(period, 10) + "/"
	hash := func(p member.Peer) uint64 {
		return xxhash.Sum64String(salt + string(p.Incarnation.VM))
	}
	slices.SortFunc(peers, func(a, b member.Peer) int {
		x, y := hash(a), hash(b)
		if x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.Incarnation.VM), string(b.Incarnation.VM))
	})
}

func (l *List) add(p member.Peer) {
	l.Addresses = append(l.Addresses, Address{
		Address: p.Callers,
		Domain:  p.Domain,
		VM:      p.Incarnation.VM,
	})
}

// next returns the index of the first router in the failure domain with the fewest
// routers in the list so far.
func (l *List) next(usable []member.Peer) int {
	best, bestCount := 0, -1
	for i, p := range usable {
		count := 0
		for _, a := range l.Addresses {
			if a.Domain == p.Domain {
				count++
			}
		}
		if bestCount < 0 || count < bestCount {
			best = i
			bestCount = count
		}
	}
	return best
}
