package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

// announcementRetention is how long an announcement is kept while its instance isn't
// listed: an entry can be back late, from a copy of the store.
const announcementRetention = 10 * time.Minute

// announcements are the instances of endpoints that said in an answer, to this router or
// to a peer, that they leave. The store may list them as usable at any revision.
type announcements struct {
	rows map[waxwingwall.Endpoint]announcement
}

type announcement struct {
	// born identifies the instance; listedAt is when it was last listed.
	born       int64
	receivedAt time.Time
	listedAt   time.Time
}

// announced reports whether an instance said that it leaves.
func (a *announcements) announced(r waxwingwall.Replica) bool {
	row, ok := a.rows[r.Endpoint]
	return ok && row.born == r.Born
}

// list returns the announcements to report to peers. An instance without a time of birth
// can't be told from the next one, so it isn't reported.
func (a *announcements) list(now time.Time) []Departure {
	var all []Departure
	for id, row := range a.rows {
		if row.born != 0 && now.Sub(row.receivedAt) <= departureRetention {
			all = append(all, Departure{
				Endpoint:  id,
				Announced: true,
				Born:      row.born,
			})
		}
	}
	slices.SortFunc(all, func(x, y Departure) int {
		return strings.Compare(string(x.Endpoint), string(y.Endpoint))
	})
	return all[:min(len(all), maxDepartures)]
}

// handleEndpointNotice handles what the header of an answer says of its endpoint.
func (e *Edge) handleEndpointNotice(ev NoticeReceived) {
	if ev.Leaving {
		e.handleAnnouncement(ev.Endpoint, ev.Born)
	}
	if ev.Brittle.Named {
		e.handleBrittle(ev)
	}
	if ev.RetryAfter > 0 {
		e.handlePause(ev.Endpoint, ev.Born, ev.RetryAfter)
	}
	if ev.Cold > 0 {
		e.handleCold(ev)
	}
}

// handleAnnouncement records an instance that said that it leaves, and notifies the
// peers.
func (e *Edge) handleAnnouncement(id waxwingwall.Endpoint, born int64) {
	if row := e.endpoints.rows[id]; row != nil && row.replica.Born != born {
		// Another instance has replaced it.
		return
	}
	if !e.announce(id, born, "answer") || born == 0 {
		return
	}
	e.departures.unsent = append(e.departures.unsent, Departure{
		Endpoint:  id,
		Announced: true,
		Born:      born,
	})
}

// mergeAnnouncement applies an announcement reported by a peer. The list of endpoints may
// be older at one of the two routers.
func (e *Edge) mergeAnnouncement(d Departure) {
	row := e.endpoints.rows[d.Endpoint]
	listed := row != nil && row.replica.Born == d.Born
	known, ok := e.announcements.rows[d.Endpoint]
	if d.Born == 0 || !listed && (row != nil && row.replica.Born > d.Born || ok && known.born > d.Born) {
		return
	}
	e.announce(d.Endpoint, d.Born, "peer")
}

// announce records an announcement and reports whether it is new.
func (e *Edge) announce(id waxwingwall.Endpoint, born int64, from string) bool {
	a := &e.announcements
	if known, ok := a.rows[id]; ok && known.born == born {
		return false
	}
	if a.rows == nil {
		a.rows = map[waxwingwall.Endpoint]announcement{}
	}
	a.rows[id] = announcement{
		born:       born,
		receivedAt: e.now,
		listedAt:   e.now,
	}
	if row := e.endpoints.rows[id]; row != nil {
		e.applyNotices(row)
	}
	e.log("endpoint_changed", "",
		field("endpoint", id), field("leaving", true), field("born", born), field("from", from))
	return true
}

// applyNotices applies what is known of the instance that is now listed.
func (e *Edge) applyNotices(row *endpoint) {
	row.announced = row.announced || e.announcements.announced(row.replica)
	row.paused = e.pauses.paused(row.replica)
}

// forgetNotices forgets what is known of an endpoint that was removed, if its next
// instance couldn't be told from it.
func (e *Edge) forgetNotices(r waxwingwall.Replica) {
	if r.Born == 0 {
		delete(e.announcements.rows, r.Endpoint)
		delete(e.pauses.rows, r.Endpoint)
	}
}

// expireNotices forgets old notices of instances that are not listed.
func (e *Edge) expireNotices() {
	for id, a := range e.announcements.rows {
		if row := e.endpoints.rows[id]; row != nil && row.replica.Born == a.born {
			a.listedAt = e.now
			e.announcements.rows[id] = a
		}
		if e.now.Sub(a.listedAt) > announcementRetention {
			delete(e.announcements.rows, id)
		}
	}
}
