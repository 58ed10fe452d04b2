package edge

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// An endpoint may restart under its ID with another version while its entry in the store
// still names the old one. While several versions are listed, a stream therefore goes on
// only after the endpoint at which it goes on, and the one that began it, have reported
// that they are still the instances of their entries.

const (
	// confirmTimeout limits the wait for the reports before a stream goes on. Endpoints
	// that don't answer are taken for what their entries say.
	confirmTimeout = 150 * time.Millisecond

	// confirmedTime is the age up to which a report holds for further requests.
	confirmedTime = 20 * time.Millisecond
)

// AskInstance requests the report of an endpoint. The answer is InstanceReported.
type AskInstance struct {
	effect.IsAction

	// Endpoint is the endpoint, Born identifies the instance that is expected.
	Endpoint waxwingwall.Endpoint
	Born     int64

	// Address is the address of the endpoint. Via is the address at which a peer makes a
	// tunnel to it; invalid if it is reached directly.
	Address, Via netip.AddrPort

	// Timeout limits the wait for the answer.
	Timeout time.Duration
}

// InstanceReported is the event of an endpoint's report, or of none.
type InstanceReported struct {
	effect.IsEvent

	// Endpoint and Born are those of the AskInstance.
	Endpoint waxwingwall.Endpoint
	Born     int64

	// Reported identifies the instance that answered; zero if none did.
	Reported int64
}

// instanceReport is the last report of an endpoint.
type instanceReport struct {
	// born is the instance of the entry when the report was asked for, reported the one
	// that answered; zero for none.
	born, reported int64

	// askedAt is when a report that is awaited was asked for, asOf when the last one that
	// has arrived was; both may be zero.
	askedAt, asOf time.Time
}

// awaited reports whether a report may still arrive.
func (i instanceReport) awaited(now time.Time) bool {
	return !i.askedAt.IsZero() && now.Sub(i.askedAt) < confirmTimeout
}

// confirmed reports whether a pinned request may be sent to an endpoint now. Otherwise, it
// waits for reports and is dispatched again.
func (e *Edge) confirmed(r *request, next *endpoint) bool {
	v := &e.versions
	if !r.pin.set || len(v.seen[r.service]) < 2 {
		return true
	}
	since, waits := v.unconfirmed[r.id]
	if !waits {
		since = e.now
	}
	known := e.instanceKnown(next, since.Add(-confirmedTime))
	if began := e.endpoints.rows[r.pin.endpoint]; began != nil && began != next && e.mayHaveRestarted(r.pin.sentAt) {
		known = e.instanceKnown(began, r.pin.sentAt) && known
	}
	if known || e.now.Sub(since) >= confirmTimeout {
		delete(v.unconfirmed, r.id)
		return true
	}
	v.unconfirmed[r.id] = since
	return false
}

// mayHaveRestarted reports whether the entry of the endpoint to which a request was sent at
// a time may not tell yet that the endpoint had restarted before.
func (e *Edge) mayHaveRestarted(sentAt time.Time) bool {
	return !sentAt.Before(e.endpoints.asOf.Add(-registrationLag))
}

// instanceKnown reports whether an endpoint has said since a time which instance it is. If
// not, it is asked.
func (e *Edge) instanceKnown(row *endpoint, since time.Time) bool {
	id, born := row.replica.Endpoint, row.replica.Born
	if born == 0 || row.evacuated {
		return true
	}
	last := e.versions.reports[id]
	if last.born != born {
		last = instanceReport{
			born: born,
		}
	}
	if !last.asOf.IsZero() && !last.asOf.Before(since) {
		return true
	}
	if last.awaited(e.now) {
		return false
	}
	last.askedAt = e.now
	e.versions.reports[id] = last
	via, _ := e.chooseTunnel(row)
	e.emit(AskInstance{
		Endpoint: id,
		Born:     born,
		Address:  row.replica.Address,
		Via:      e.tunnelAddress(via),
		Timeout:  confirmTimeout,
	})
	return false
}

// handleInstanceReported puts the streams of an endpoint in doubt that has restarted, and
// dispatches the requests that waited for the report.
func (e *Edge) handleInstanceReported(ev InstanceReported) {
	v := &e.versions
	last, ok := v.reports[ev.Endpoint]
	if !ok || last.born != ev.Born {
		return
	}
	last.asOf = last.askedAt
	last.askedAt = time.Time{}
	if ev.Reported != 0 {
		last.reported = ev.Reported
	}
	v.reports[ev.Endpoint] = last
	if d, doubted := v.doubts[ev.Endpoint]; e.replaced(ev.Endpoint) && (!doubted || d.build != 0) {
		e.doubtEndpoint(ev.Endpoint, 0, e.endpoints.asOf.Add(-registrationLag))
	}
	e.confirmStep()
}

// replaced reports whether an endpoint has said that it is another instance than that of
// its entry.
func (e *Edge) replaced(id waxwingwall.Endpoint) bool {
	row := e.endpoints.rows[id]
	last := e.versions.reports[id]
	return row != nil && last.born == row.replica.Born && last.reported != 0 && last.reported != last.born
}

// confirmStep dispatches the requests whose reports have arrived or are overdue.
func (e *Edge) confirmStep() {
	var waiting []*request
	for id := range e.versions.unconfirmed {
		if r := e.requests[id]; r != nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range waiting {
		if e.requests[r.id] == r && r.endpoint == nil {
			e.dispatch(r)
		}
	}
}

// expireReports forgets the reports of endpoints that are no longer listed.
func (e *Edge) expireReports() {
	for id := range e.versions.reports {
		if e.endpoints.rows[id] == nil {
			delete(e.versions.reports, id)
		}
	}
}
