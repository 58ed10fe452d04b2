// Package address tells callers which routers to connect to.
//
// No balancer stands before the fleet. A caller asks any router, keeps the
// answer for its lifetime and connects by itself. Answer puts the home routers
// of the client account first, so that its budget is drawn by few; then come
// others, one failure domain after the other, so that a caller who goes down
// the list leaves a failed domain with its next try. Routers that are leaving
// or can't be reached are left out.
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
	// DefaultLifetime is how long an answer may be kept.
	DefaultLifetime = 30 * time.Second

	// ShortLifetime is for an answer given while some home router isn't in
	// it, as the answer is about to be another.
	ShortLifetime = 5 * time.Second

	// MaxAddresses is how many addresses an answer holds at most.
	MaxAddresses = 8

	// rotationPeriod is after how long the order of the routers behind the homes
	// changes, so that callers with one answer don't stay together.
	rotationPeriod = time.Hour
)

// Address is one router's address for callers.
type Address struct {
	// Address is where it listens for callers.
	Address netip.AddrPort `json:"address"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// VM is the router's VM.
	VM waxwingwall.VM `json:"vm"`
}

// List is an answer.
type List struct {
	// Addresses are in the order in which to try them.
	Addresses []Address `json:"addresses"`

	// Lifetime is how long the answer may be kept.
	Lifetime time.Duration `json:"lifetime"`
}

// Select tells a client account where to connect. The peers include the
// answering router; homes are the owners of the account's slots, the first one
// preferred. The same input gives the same answer.
func Select(now time.Time, peers []member.Peer, account waxwingwall.Account, homes []waxwingwall.Incarnation) List {
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
	for _, home := range homes {
		i := slices.IndexFunc(usable, func(p member.Peer) bool { return p.Incarnation == home })
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

// sortByHash orders routers differently for each account and turn.
func sortByHash(peers []member.Peer, account waxwingwall.Account, turn int64) {
	salt := string(account) + "/" + strconv.FormatInt(turn, 10) + "/"
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

// next picks the first router of the failure domain that is rarest in the list
// so far.
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
