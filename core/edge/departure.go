package edge

import (
	"slices"
	"strings"
	"time"

	"waxwingwall"
)

const (
	// departureRetention is how long routers report a leaving endpoint to each
	// other: longer than a delayed answer of the store takes over a full link.
	departureRetention = 5 * time.Second

	// maxDepartures limits the departures in a report; the newest are sent.
	maxDepartures = 64
)

// Departure is an endpoint that leaves or has left according to the store, or that leaves
// by its own account. Routers report departures to each other, because the store's update
// can be delayed at one of them, and not all get an answer of the endpoint.
type Departure struct {
	// Endpoint is the leaving endpoint.
	Endpoint waxwingwall.Endpoint

	// Revision is the store's revision of the departure. The store's state at this
	// revision or later takes precedence.
	Revision int64

	// Announced is set if the endpoint's instance that was started at Born said in an
	// answer that it leaves. Then there is no Revision: no state of the store takes
	// precedence, except that another instance is listed.
	Announced bool
	Born      int64
}

// departures are the recent departures.
type departures struct {
	rows map[waxwingwall.Endpoint]departure

	// unsent are departures not yet sent to any peer.
	unsent []Departure

	// cold are the endpoints that said in an answer that they are cold, and of which no peer
	// was told yet.
	cold []*endpoint
}

type departure struct {
	revision   int64
	receivedAt time.Time
}

// recordDeparture records a departure reported by the store.
func (e *Edge) recordDeparture(id waxwingwall.Endpoint) {
	d := Departure{
		Endpoint: id,
		Revision: e.endpoints.revision,
	}
	if e.departures.add(e.now, d) {
		e.departures.unsent = append(e.departures.unsent, d)
	}
}

// add records a departure and reports whether it is new.
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

// list returns the departures to report and removes expired ones.
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

// handleDepartures applies the departures reported by a peer.
func (e *Edge) handleDepartures(reported []Departure) {
	for _, d := range reported {
		if d.Announced {
			e.mergeAnnouncement(d)
			continue
		}
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
