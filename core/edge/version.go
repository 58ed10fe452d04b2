package edge

import (
	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

// Endpoints of one service may run several software versions, and a stream may go on only
// at the version that began it. A request for a resumable stream is pinned to a build, a
// version of a service, before its caller gets the first event, and from then on it is
// dispatched to endpoints of that build alone.

// build identifies a software version of a service. No endpoint has build 0.
type build uint64

// buildOf returns the build of an endpoint.
func buildOf(r waxwingwall.Replica) build {
	return max(build(xxhash.Sum64String(string(r.Service)+"\x00"+r.Version)), 1)
}

// pin binds a request to a build.
type pin struct {
	set   bool
	build build
}

// pinnable reports whether the version of a request's endpoints matters.
func (r *request) pinnable() bool {
	return r.route.Kind == waxwingwall.Streaming && r.route.Resumable
}

// versionFilter returns which endpoints a request may be sent to by their build.
func (e *Edge) versionFilter(r *request) func(*endpoint) bool {
	if r.pin.set {
		return func(row *endpoint) bool { return row.build == r.pin.build }
	}
	return func(*endpoint) bool { return true }
}

// streamBegins pins a request when its first event arrives.
func (e *Edge) streamBegins(r *request) {
	if !r.pinnable() || r.pin.set {
		return
	}
	r.pin = pin{
		set:   true,
		build: r.sentBuild,
	}
}

// endPinned ends a request for which no endpoint of its build is left.
func (e *Edge) endPinned(r *request) {
	e.log("no_endpoint_of_version", r.call.ID, field("service", r.service), field("events", r.events))
	e.fail(r, Unreachable)
}
