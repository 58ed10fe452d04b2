package edge

import (
	"net/netip"
	"time"

	"waxwingwall"
	"waxwingwall/core/quarantine"
)

const (
	// suspectTime is how long crashes are remembered.
	suspectTime = time.Minute

	// confirmTime is within which time an endpoint that broke off a run has to
	// be found gone for that to count as a crash.
	confirmTime = 5 * time.Second
)

// suspects are requests whose runs ended with a broken connection. Only one
// whose endpoint is then found gone counts as a crash.
type suspects struct {
	table   quarantine.Table
	pending []breakage
}

// breakage is a run that broke off.
type breakage struct {
	fingerprint uint64
	endpoint    waxwingwall.Endpoint
	address     netip.AddrPort
	at          time.Time
	gone        bool
}

// broke takes in a run that broke off.
func (s *suspects) broke(now time.Time, fingerprint uint64, on waxwingwall.Replica) {
	if fingerprint == 0 {
		return
	}
	s.pending = append(s.pending, breakage{
		fingerprint: fingerprint,
		endpoint:    on.Endpoint,
		address:     on.Address,
		at:          now,
	})
}

// replaced takes in that an endpoint at an address came or went.
func (s *suspects) replaced(now time.Time, address netip.AddrPort) {
	for i := range s.pending {
		if s.pending[i].address == address && now.Sub(s.pending[i].at) <= confirmTime {
			s.pending[i].gone = true
		}
	}
}

// tick forgets what is old.
func (s *suspects) tick(now time.Time) {
	kept := s.pending[:0]
	for _, b := range s.pending {
		if now.Sub(b.at) <= confirmTime {
			kept = append(kept, b)
		}
	}
	s.pending = kept
	s.table.Expire(now)
}

// confirmCrash takes in that an endpoint can't be reached.
func (e *Edge) confirmCrash(row *endpoint) {
	e.suspects.replaced(e.now, row.replica.Address)
	e.countCrashes()
}

// countCrashes counts the breakages that are confirmed and tells the peers.
func (e *Edge) countCrashes() {
	var notices []quarantine.Notice
	kept := e.suspects.pending[:0]
	for _, b := range e.suspects.pending {
		if !b.gone {
			kept = append(kept, b)
			continue
		}
		n, counted := e.suspects.table.RecordCrash(e.now, e.Self, b.fingerprint, b.endpoint)
		if !counted {
			continue
		}
		notices = append(notices, n)
		e.note("crash_counted", "", field("fingerprint", n.Fingerprint),
			field("endpoint", b.endpoint), field("crashes", e.suspects.table.Crashes(e.now, b.fingerprint)))
	}
	e.suspects.pending = kept
	if len(notices) > 0 {
		e.tellAll(Crashes{
			Notices: notices,
		}, maxTold)
	}
}
