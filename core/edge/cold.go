package edge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/limit"
)

const (
	// coldSendBy limits how long a request with the permit of a cold endpoint may wait for its
	// slot and connection. Cold endpoints are counted in single seconds.
	coldSendBy = 300 * time.Millisecond

	// coldStep is the least difference between two ends of the time in which an endpoint is
	// cold that is logged and passed on; the same end is known a little later by each way.
	coldStep = 250 * time.Millisecond

	// patientShare times the longest objective of a service is the least objective of routes
	// whose requests warm endpoints up.
	patientShare = 0.5
)

// coldness is what this router knows of the time in which an endpoint is cold.
type coldness struct {
	// listedUntil is the end by the endpoint's entry, a newer one replaces it. heardUntil is
	// the latest end that an answer named, to this router or to a peer: answers come in no
	// particular order, so none makes it earlier.
	listedUntil, heardUntil time.Time

	// until is the end that applies; zero if the endpoint isn't cold, or its service has no
	// limit for cold endpoints.
	until time.Time
}

// ColdEndpoint tells peers that an endpoint said in an answer that it is cold.
type ColdEndpoint struct {
	// Endpoint and Born identify the instance.
	Endpoint waxwingwall.Endpoint
	Born     int64

	// Left is how much longer it is cold, when the message is sent.
	Left time.Duration
}

// check returns an error if no router can have sent it.
func (c ColdEndpoint) check() error {
	if c.Endpoint == "" || c.Born < 0 || !isCount(c.Left, waxwingwall.MaxColdTime) {
		return fmt.Errorf("endpoint %q is cold for %v", waxwingwall.Excerpt(string(c.Endpoint)), c.Left)
	}
	return nil
}

// coldAsk is the ask of a request for the permit of a cold endpoint.
type coldAsk struct {
	// endpoint is empty if the last ask was for another one; at is when it was made, hasWarm
	// is set if a warm endpoint could have been used as well.
	endpoint waxwingwall.Endpoint
	at       time.Time
	hasWarm  bool

	// sendBy is when the permit ends; zero if the endpoint isn't cold.
	sendBy time.Time
}

// listCold applies what the entry of an endpoint says. The time left runs on from when the
// entry was written, which is not known; it is counted from when a changed entry came. The
// same entry can be read again, and tells nothing new then.
func (e *Edge) listCold(row *endpoint, changed bool, from string) {
	if changed {
		row.cold.listedUntil = e.now.Add(row.replica.Cold)
	}
	e.applyCold(row, from)
}

// handleCold applies what an answer says, and passes it on if it is news.
func (e *Edge) handleCold(ev NoticeReceived) {
	row := e.endpoints.rows[ev.Endpoint]
	if row == nil || row.replica.Born != ev.Born || !e.hearCold(row, ev.Cold, "answer") {
		return
	}
	e.departures.cold = append(e.departures.cold, row)
}

// mergeCold applies what a peer was told by an answer. It is not passed on: with each hop the
// end would be later.
func (e *Edge) mergeCold(from waxwingwall.Incarnation, reported []ColdEndpoint) {
	for _, c := range reported {
		if err := c.check(); err != nil {
			e.log("message_rejected", "", field("peer", waxwingwall.Excerpt(from.String())), field("message", "cold"), field("cause", err.Error()))
			continue
		}
		if row := e.endpoints.rows[c.Endpoint]; row != nil && row.replica.Born == c.Born {
			e.hearCold(row, c.Left, "peer")
		}
	}
}

// hearCold applies what an answer said, and reports whether it is news. An endpoint is cold for
// the time of its service at most; if it is longer, later answers say so.
func (e *Edge) hearCold(row *endpoint, left time.Duration, from string) bool {
	if s := e.config.services[row.replica.Service]; s != nil && s.ColdTime > 0 {
		left = min(left, s.ColdTime)
	}
	until := e.now.Add(left)
	if !until.After(row.cold.heardUntil) {
		return false
	}
	before := row.cold.until
	row.cold.heardUntil = until
	e.applyCold(row, from)
	return !row.cold.until.IsZero() && row.cold.until.Sub(before) >= coldStep
}

// coldRate returns the requests a second that a cold endpoint of a service takes; zero if it
// has no limit.
func (e *Edge) coldRate(service waxwingwall.Model) float64 {
	if s := e.config.services[service]; s != nil {
		return s.ColdRate
	}
	return 0
}

// applyCold puts the limit of an endpoint in force that is cold, or ends it.
func (e *Edge) applyCold(row *endpoint, from string) {
	c := &row.cold
	rate := e.coldRate(row.replica.Service)
	until := c.listedUntil
	if c.heardUntil.After(until) {
		until = c.heardUntil
	}
	if rate <= 0 || !e.now.Before(until) {
		until = time.Time{}
	}
	before := c.until
	c.until = until
	if before.IsZero() && until.IsZero() {
		return
	}
	e.limits.SetCold(e.now, limit.Cold{
		Endpoint: row.replica.Endpoint,
		Pool:     row.replica.Service,
		Born:     row.replica.Born,
		Rate:     rate,
		Until:    until,
	})
	switch {
	case until.IsZero():
		e.coldEndpoints--
		e.warmed = append(e.warmed, row.replica.Service)
		e.log("endpoint_warm", "",
			field("endpoint", row.replica.Endpoint), field("left", max(before.Sub(e.now), 0)), field("from", from))
	case before.IsZero() || until.Sub(before).Abs() >= coldStep:
		if before.IsZero() {
			e.coldEndpoints++
		}
		e.log("endpoint_cold", "",
			field("endpoint", row.replica.Endpoint), field("rate", rate), field("left", until.Sub(e.now)),
			field("before", since(e.now, before)), field("from", from))
	}
}

// forgetCold forgets what is known of an instance that is gone.
func (e *Edge) forgetCold(row *endpoint) {
	if !row.cold.until.IsZero() {
		e.coldEndpoints--
	}
	row.cold = coldness{}
}

// reviewCold applies the time that has passed, or a new configuration.
func (e *Edge) reviewCold(from string) {
	for _, s := range e.config.configuration.Services {
		for _, row := range e.endpoints.byService[s.Name] {
			if from != coldByTime || !row.cold.until.IsZero() && !e.now.Before(row.cold.until) {
				e.applyCold(row, from)
			}
		}
	}
}

// releaseWaiting dispatches the requests anew that wait for a permit of a service of which an
// endpoint is warm now.
func (e *Edge) releaseWaiting() {
	services := e.warmed
	e.warmed = nil
	if len(services) == 0 {
		return
	}
	var waiting []*request
	for _, r := range e.permits {
		if slices.Contains(services, r.service) && e.hasUnlimited(r) {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range waiting {
		if r.ask != 0 {
			e.cancelAsk(r)
			e.dispatch(r)
		}
	}
}

// The causes of changes that are no messages, for the log.
const (
	coldByTime          = "time"
	coldByConfiguration = "configuration"
)

// adoptCold takes over what the store says of cold endpoints in the configuration that is in
// force: a peer with an earlier version of this program passes it on without that.
func (e *Edge) adoptCold(c waxwingwall.Configuration) {
	changed := false
	mended := e.config.configuration
	mended.Services = slices.Clone(mended.Services)
	for i := range mended.Services {
		s := &mended.Services[i]
		j := slices.IndexFunc(c.Services, func(o waxwingwall.Service) bool { return o.Name == s.Name })
		if j < 0 || s.ColdRate == c.Services[j].ColdRate && s.ColdTime == c.Services[j].ColdTime {
			continue
		}
		s.ColdRate, s.ColdTime = c.Services[j].ColdRate, c.Services[j].ColdTime
		changed = true
	}
	if changed {
		e.config = newConfigIndex(mended)
		e.reviewCold(coldByConfiguration)
	}
}

// ColdInstances returns the cold instances, each with the end of that: a request without a
// permit may still wait for its connection when its endpoint becomes cold.
func (e *Edge) ColdInstances() map[Instance]time.Time {
	if e.coldEndpoints == 0 {
		return nil
	}
	all := make(map[Instance]time.Time, e.coldEndpoints)
	for id, row := range e.endpoints.rows {
		if !row.cold.until.IsZero() {
			all[Instance{Endpoint: id, Born: row.replica.Born}] = row.cold.until
		}
	}
	return all
}

// agedReplica returns the entry of an endpoint as it is passed to a peer now.
func (e *Edge) agedReplica(row *endpoint) waxwingwall.Replica {
	r := row.replica
	r.Cold = max(row.cold.listedUntil.Sub(e.now), 0)
	return r
}

// coldNews returns what answers said that peers were not told yet, as of now.
func (e *Edge) coldNews() []ColdEndpoint {
	var all []ColdEndpoint
	for _, row := range e.departures.cold {
		if left := row.cold.heardUntil.Sub(e.now); left > 0 && len(all) < maxDepartures {
			all = append(all, ColdEndpoint{
				Endpoint: row.replica.Endpoint,
				Born:     row.replica.Born,
				Left:     left,
			})
		}
	}
	e.departures.cold = nil
	return all
}

// chooseWarmUp returns the cold endpoint for which a request asks for a permit although there
// are warm ones. Endpoints warm up by time alone, but read their shared parts with the requests
// that they get: while a failure domain is being evacuated, those elsewhere get what they take, so
// that they carry load once they are warm.
func (e *Edge) chooseWarmUp(r *request, evacuating bool, accept func(*endpoint) bool) (placement, bool) {
	if !evacuating || e.coldEndpoints == 0 || r.denied || r.attempt > 0 || !e.limits.MayAsk(e.now, r.service) ||
		!patient(e.config.configuration.Routes, r.route, r.service) {
		return placement{}, false
	}
	return e.choose(r, func(row *endpoint) bool {
		return accept(row) && e.limits.Cold(row.replica.Endpoint) && !e.now.Before(row.backoffUntil)
	})
}

// patient reports whether the requests of a route have time, compared with the other routes of
// a service: idempotent ones before others, and with one of the longest objectives.
func patient(routes []waxwingwall.Route, route *waxwingwall.Route, service waxwingwall.Model) bool {
	idempotent, longest := false, time.Duration(0)
	for i := range routes {
		o := &routes[i]
		switch {
		case !slices.ContainsFunc(o.Services, func(w waxwingwall.Weighted) bool { return w.Service == service }):
		case o.Idempotent() && !idempotent:
			idempotent, longest = true, o.Objective
		case o.Idempotent() == idempotent:
			longest = max(longest, o.Objective)
		}
	}
	return route.Idempotent() == idempotent && float64(route.Objective) >= patientShare*float64(longest)
}

// noteColdAsk notes that a request asks for a permit, preferably that of an endpoint.
func (e *Edge) noteColdAsk(r *request, preferred waxwingwall.Endpoint, hasWarm bool) {
	r.cold = coldAsk{}
	if e.limits.Cold(preferred) {
		r.cold = coldAsk{
			endpoint: preferred,
			at:       e.now,
			hasWarm:  hasWarm,
		}
	}
}

// noteColdAnswer logs the answer to a request that asked for the permit of a cold endpoint, or
// got one. Without a permit, endpoint is empty.
func (e *Edge) noteColdAnswer(r *request, endpoint waxwingwall.Endpoint, retryAfter time.Duration) {
	cold := endpoint != "" && e.limits.Cold(endpoint)
	if cold {
		r.cold.sendBy = e.now.Add(coldSendBy)
	}
	if r.cold.endpoint == "" && !cold {
		return
	}
	result := "granted"
	if endpoint == "" {
		result = "denied"
	}
	e.log("permit_cold", r.call.ID,
		field("result", result), field("asked", r.cold.endpoint), field("endpoint", endpoint), field("service", r.service),
		field("waited", since(r.cold.at, e.now)), field("has_warm", r.cold.hasWarm), field("retry_after", retryAfter))
}

// permitUntil returns when a request with a permit must have been sent.
func (e *Edge) permitUntil(r *request) time.Time {
	until := e.now.Add(permitSendBy)
	if by := r.cold.sendBy; !by.IsZero() && by.Before(until) {
		return by
	}
	return until
}
