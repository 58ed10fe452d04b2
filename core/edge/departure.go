package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// departureRetention is how long routers tell each other that an endpoint leaves:
	// longer than a late answer of the store takes over a full link.
	departureRetention = 5 * time.Second

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

	// unsent are not told to anybody yet.
	unsent []Departure
}

type departure struct {
	revision   int64
	receivedAt time.Time
}

// recordDeparture takes in that the store said so.
func (e *Edge) recordDeparture(id waxwingwall.Endpoint) {
	d := Departure{
		Endpoint: id,
		Revision: e.endpoints.revision,
	}
	if e.departures.add(e.now, d) {
		e.departures.unsent = append(e.departures.unsent, d)
	}
}

// add keeps a departure and reports whether it is new.
func (d *departures) add(now time.Time, reported Departure) bool {
	if old, ok := d.rows[reported.Endpoint]; ok && old.revision >= reported.Revision {
		return false
	}
	if d.rows == nil {
		d.rows = map[waxwingwall.Endpoint]departure{}
	}
	d.rows[reported.Endpoint] = departure{
		revision:   reported.Revision,
		receivedAt: now,
	}
	return true
}

// list returns what to tell, and forgets what is old.
func (d *departures) list(now time.Time) []Departure {
	var all []Departure
	for id, row := range d.rows {
		if now.Sub(row.receivedAt) > departureRetention {
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

// handleDepartures takes in what a peer knows of endpoints that leave.
func (e *Edge) handleDepartures(reported []Departure) {
	for _, d := range reported {
		if d.Revision <= e.endpoints.revision || !e.departures.add(e.now, d) {
			continue
		}
		row := e.endpoints.rows[d.Endpoint]
		if row == nil || row.replica.Leaving {
			continue
		}
		row.departRevision = d.Revision
		e.log("endpoint_changed", "",
			field("endpoint", d.Endpoint), field("leaving", true), field("revision", d.Revision), field("from", "peer"))
	}
}
