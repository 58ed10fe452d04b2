package address_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/address"
	"waxwingwall/core/member"
)

func peer(i int, domain string) member.Peer {
	return member.Peer{
		Incarnation: waxwingwall.Incarnation{
			VM:   waxwingwall.VM(fmt.Sprintf("vm-%d", i)),
			Boot: 1,
		},
		Callers:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7001),
		Domain:    waxwingwall.Domain(domain),
		Alive:     true,
		Reachable: true,
	}
}

func Example() {
	peers := []member.Peer{peer(1, "a"), peer(2, "a"), peer(3, "b"), peer(4, "b")}
	peers[3].Leaving = true
	owners := []waxwingwall.Incarnation{peers[1].Incarnation}
	list := address.Select(time.Unix(0, 0), peers, "bakery-12", owners)
	for _, a := range list.Addresses {
		fmt.Println(a.Address, a.Domain)
	}
	fmt.Println(list.Lifetime)
	// Output:
	// 10.0.0.2:7001 a
	// 10.0.0.3:7001 b
	// 10.0.0.1:7001 a
	// 30s
}

// TestSelect checks the guarantees of the package comment on random fleets.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []member.Peer
		usable := make(map[waxwingwall.VM]bool)
		domains := make(map[waxwingwall.Domain]bool)
		for i := range rapid.IntRange(0, 20).Draw(t, "peers") {
			p := peer(i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
			p.Alive = rapid.IntRange(0, 4).Draw(t, "alive") > 0
			p.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			p.Reachable = rapid.IntRange(0, 4).Draw(t, "reachable") > 0
			peers = append(peers, p)
			if p.Alive && p.Reachable && !p.Leaving {
				usable[p.Incarnation.VM] = true
				domains[p.Domain] = true
			}
		}
		var owners []waxwingwall.Incarnation
		if len(peers) > 0 {
			owners = append(owners, rapid.SampledFrom(peers).Draw(t, "owner").Incarnation)
		}
		list := address.Select(time.Unix(9999, 0), peers, "account", owners)
		seen := make(map[waxwingwall.VM]bool)
		seenDomains := make(map[waxwingwall.Domain]bool)
		for _, a := range list.Addresses {
			if !usable[a.VM] || seen[a.VM] {
				t.Fatalf("%s is unusable or duplicated in %v", a.VM, list)
			}
			seen[a.VM] = true
			seenDomains[a.Domain] = true
		}
		if len(seen) != min(len(usable), address.MaxAddresses) || len(seenDomains) != len(domains) {
			t.Fatalf("%v lacks some of %v in %v", list, usable, domains)
		}
		if len(owners) > 0 && usable[owners[0].VM] && list.Addresses[0].VM != owners[0].VM {
			t.Fatalf("owner %v is not first in %v", owners[0], list)
		}
	})
}

// TestAccountsAreSpread counts which router comes first for many accounts without
// an owner. No router may get more than twice its share.
func TestAccountsAreSpread(t *testing.T) {
	var peers []member.Peer
	for i := range 8 {
		peers = append(peers, peer(i, fmt.Sprint(i%4)))
	}
	const accounts = 4000
	first := make(map[waxwingwall.VM]int)
	for i := range accounts {
		list := address.Select(time.Unix(0, 0), peers, waxwingwall.Account(fmt.Sprint("account-", i)), nil)
		first[list.Addresses[0].VM]++
	}
	for vm, n := range first {
		if n > 2*accounts/len(peers) {
			t.Errorf("%s comes first for %d of %d", vm, n, accounts)
		}
	}
	if len(first) != len(peers) {
		t.Errorf("only %d routers come first", len(first))
	}
}
