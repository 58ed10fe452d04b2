package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// departureTime is how long routers tell each other that an endpoint leaves:
	// longer than a late answer of the store takes over a full link.
	departureTime = 5 * time.Second

	// maxDepartures bounds the departures in a report; the newest go first.
	maxDepartures = 64
)

// Departure is an endpoint that leaves or has left, as the store said. Routers
// tell each other, since the store's own word can be late at one of them.
type Departure struct {
	// Endpoint leaves.
	Endpoint waxwingwall.Endpoint

	// Revision is the store's as of which it does. The store's word from then on
	// goes before this one.
	Revision int64
}

// departures are those of late.
type departures struct {
	rows map[waxwingwall.Endpoint]departure

	// fresh are not told to anybody yet.
	fresh []Departure
}

type departure struct {
	revision int64
	at       time.Time
}

// departed takes in that the store said so.
func (e *Edge) departed(id waxwingwall.Endpoint) {
	d := Departure{
		Endpoint: id,
		Revision: e.endpoints.revision,
	}
	if e.departures.note(e.now, d) {
		e.departures.fresh = append(e.departures.fresh, d)
	}
}

// note keeps a departure and reports whether it is new.
func (d *departures) note(now time.Time, told Departure) bool {
	if old, ok := d.rows[told.Endpoint]; ok && old.revision >= told.Revision {
		return false
	}
	if d.rows == nil {
		d.rows = map[waxwingwall.Endpoint]departure{}
	}
	d.rows[told.Endpoint] = departure{
		revision: told.Revision,
		at:       now,
	}
	return true
}

// list returns what to tell, and forgets what is old.
func (d *departures) list(now time.Time) []Departure {
	var all []Departure
	for id, row := range d.rows {
		if now.Sub(row.at) > departureTime {
			delete(d.rows, id)
			continue
		}
		all = append(all, Departure{
			Endpoint: id,
			Revision: row.revision,
		})
	}
	slices.SortFunc(all, func(a, b Departure) int {
		if a.Revision != b.Revision {
			return int(b.Revision - a.Revision)
		}
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	return all[:min(len(all), maxDepartures)]
}

// heardDepartures takes in what a peer knows of endpoints that leave.
func (e *Edge) heardDepartures(told []Departure) {
	for _, d := range told {
		if d.Revision <= e.endpoints.revision || !e.departures.note(e.now, d) {
			continue
		}
		row := e.endpoints.rows[d.Endpoint]
		if row == nil || row.replica.Leaving {
			continue
		}
		row.departs = d.Revision
		e.note("endpoint_changed", "",
			field("endpoint", d.Endpoint), field("leaving", true), field("revision", d.Revision), field("from", "peer"))
	}
}
