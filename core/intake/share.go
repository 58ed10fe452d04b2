package intake

import (
	"cmp"
	"math"
	"slices"
	"time"

	"waxwingwall"
)

const (
	// shareWindow is the time constant with which earlier requests are forgotten.
	shareWindow = 2 * time.Second

	// rankFloor is the part of the link that each rank has, if it asks for as much, whatever
	// the more urgent ones ask for. With many ranks it is less, so that half of the link
	// goes by rank.
	rankFloor = 0.1

	// maxParties limits the number of accounts that are told apart; further ones are taken
	// for one.
	maxParties = 512

	// forgottenBytes is what a party asks for less than when it is forgotten.
	forgottenBytes = 1
)

// party is a client account in one rank.
type party struct {
	rank    waxwingwall.Rank
	account waxwingwall.Account
}

// usage is what a party has asked for and what was accepted of it, in bytes and in requests by
// size. All decay.
type usage struct {
	asked, taken float64
	sizes        sizes
}

// shares divide the link among the parties. The zero value is ready to use.
type shares struct {
	parties map[party]*usage
	at      time.Time
}

// decay forgets a part of the earlier requests.
func (s *shares) decay(now time.Time) {
	keep := math.Exp(-max(now.Sub(s.at), 0).Seconds() / shareWindow.Seconds())
	s.at = now
	for p, u := range s.parties {
		u.asked *= keep
		u.taken *= keep
		u.sizes.decay(keep)
		if u.asked < forgottenBytes {
			delete(s.parties, p)
		}
	}
}

// party returns the usage of a request's party.
func (s *shares) party(r Request) *usage {
	if s.parties == nil {
		s.parties = map[party]*usage{}
	}
	key := party{
		rank:    r.Rank,
		account: r.Account,
	}
	if s.parties[key] == nil && len(s.parties) >= maxParties {
		key = party{}
	}
	u := s.parties[key]
	if u == nil {
		u = &usage{}
		s.parties[key] = u
	}
	return u
}

func (s *shares) ask(r Request, size float64) {
	u := s.party(r)
	u.asked += size
	u.sizes.asked[sizeOf(r.Body)]++
}

func (s *shares) take(r Request, size float64) {
	u := s.party(r)
	u.taken += size
	u.sizes.taken[sizeOf(r.Body)]++
}

// of returns what was accepted of the party of a request, and its part of room, which is what the
// link carries in the same time. A party without others has nothing to share.
func (s *shares) of(r Request, room float64) (taken, share float64) {
	asked := map[waxwingwall.Rank]float64{}
	var parties []float64
	for p, u := range s.parties {
		asked[p.rank] += u.asked
		if p.rank == r.Rank {
			parties = append(parties, u.asked)
		}
	}
	u := s.party(r)
	if len(s.parties) == 1 {
		return u.taken, u.asked
	}
	return u.taken, min(u.asked, waterLevel(parties, rankRoom(asked, room)[r.Rank]))
}

// load returns the part of the link that is asked for, and the account with the most of what was
// accepted.
func (s *shares) load(bytesPerSecond float64) (asked float64, top waxwingwall.Account, part float64) {
	all := bytesPerSecond * shareWindow.Seconds()
	taken := map[waxwingwall.Account]float64{}
	for p, u := range s.parties {
		asked += u.asked / all
		taken[p.account] += u.taken / all
	}
	for account, t := range taken {
		if t > part || t == part && account < top {
			top, part = account, t
		}
	}
	return asked, top, part
}

// rankRoom divides room among ranks by what they ask for: first the floors, then by urgency.
func rankRoom(asked map[waxwingwall.Rank]float64, room float64) map[waxwingwall.Rank]float64 {
	ranks := make([]waxwingwall.Rank, 0, len(asked))
	for rank := range asked {
		ranks = append(ranks, rank)
	}
	slices.SortFunc(ranks, cmp.Compare[waxwingwall.Rank])
	floor := room * min(rankFloor, 0.5/float64(len(ranks)))
	got := map[waxwingwall.Rank]float64{}
	for _, rank := range ranks {
		got[rank] = min(asked[rank], floor)
		room -= got[rank]
	}
	for _, rank := range ranks {
		more := min(asked[rank]-got[rank], room)
		got[rank] += more
		room -= more
	}
	return got
}

// waterLevel returns the level up to which all demands are met within room (max-min fairness).
func waterLevel(demands []float64, room float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if each := room / float64(len(demands)-i); d > each {
			return each
		}
		room -= d
	}
	return math.Inf(1)
}
