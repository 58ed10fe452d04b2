package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

const (
	// The cost of an endpoint for a request is the estimated time to the first
	// part of the answer, in milliseconds, plus penalties in the same unit.

	// prefillTokensPerMs is the expected number of prompt tokens that an engine
	// reads per millisecond. The estimate is multiplied by the endpoint's slowdown,
	// the smoothed ratio of the actual to the expected time.
	prefillTokensPerMs = 60.0

	// runningCostMs is the estimated delay, in milliseconds, that each request
	// running on an engine adds to the first token of another.
	runningCostMs = 1.5

	// preferredDiscount is the fraction of the time to read a prompt that is
	// subtracted from the cost of its preferred endpoint, so that a prompt that no
	// endpoint has cached is read first by one endpoint.
	preferredDiscount = 0.3

	// preferredHitRate is the assumed probability that a prompt whose reads were
	// not reported to this router is cached at its preferred endpoint.
	preferredHitRate = 0.7

	// rereadFactor times the time to read the shared parts that an engine has not
	// cached is added to its cost: reading them delays everything that runs there
	// and evicts other parts from memory.
	rereadFactor = 2.5

	// failureCostMs is the penalty, in milliseconds, for an attempt that is certain
	// to fail; it is multiplied by the endpoint's failure rate.
	failureCostMs = 4000.0

	// peerWeight is the weight of the slowdown and failure rate that peers report, against
	// the router's own.
	peerWeight = 0.7

	// backoffCostMs is the penalty for an endpoint in backoff, in milliseconds.
	backoffCostMs = 20000.0

	// memoryCostMs is the penalty, in milliseconds, for an engine whose usable
	// memory the request would exceed, multiplied by the ratio of needed to usable
	// memory less 0.5. It applies to exceeded slots as well, multiplied by the
	// excess as a fraction of the slots.
	memoryCostMs = 3000.0

	// usableMemoryShare is the fraction of an engine's memory that placement uses.
	usableMemoryShare = 0.9

	// serviceCostMs is the expected time, in milliseconds, that an idle plain
	// service takes for a request. It is multiplied by 1 plus the fraction of the
	// slots in use; each request in excess of the slots adds it once more.
	serviceCostMs = 30.0

	// slowdownSmoothing is the number of answers over which the slowdown is
	// smoothed; minSlowdown and maxSlowdown limit each sample.
	slowdownSmoothing = 8
	minSlowdown       = 0.5
	maxSlowdown       = 10.0
)

// placement is the choice of an endpoint for a request, with the inputs of the
// decision.
type placement struct {
	endpoint *endpoint

	// cost is in milliseconds.
	cost float64

	// uncached is the number of prompt tokens that the endpoint has to read.
	uncached waxwingwall.Tokens

	// slowdown is the one that cost was estimated with.
	slowdown float64

	// candidates counts the endpoints that were compared.
	candidates int
}

// choose returns the accepted endpoint with the lowest cost. Endpoints in r.tried
// are excluded; dispatch clears r.tried if no other endpoint is left and the request
// did not run.
func (e *Edge) choose(r *request, accept func(*endpoint) bool) (placement, bool) {
	var best placement
	rows := e.endpoints.byService[r.service]
	preferred := e.preferredEndpoint(rows, r, accept)
	count := 0
	for _, row := range rows {
		if !accept(row) || r.tried[row.replica.Endpoint] {
			continue
		}
		c := e.cost(r, row, row == preferred)
		if count == 0 || c.cost < best.cost {
			best = c
		}
		count++
	}
	best.candidates = count
	return best, count > 0
}

// preferredEndpoint returns the accepted endpoint to which a part is assigned by
// rendezvous hashing. The order of the endpoints is the same at all routers, so
// they need not exchange where a part is cached.
func (e *Edge) preferredEndpoint(rows []*endpoint, r *request, accept func(*endpoint) bool) *endpoint {
	part := r.affinityPart()
	if part == 0 {
		return nil
	}
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		if !accept(row) || e.now.Before(row.backoffUntil) || !e.hasReturned(r, row) {
			continue
		}
		if h := rendezvousHash(part, row.replica.Endpoint); best == nil || h > highest {
			best = row
			highest = h
		}
	}
	return best
}

// rendezvousHash returns the weight of an endpoint for a part.
func rendezvousHash(part uint64, id waxwingwall.Endpoint) uint64 {
	return mix(part, xxhash.Sum64String(string(id)))
}

// mix returns the weight of a hashed name for a key of rendezvous hashing.
func mix(key, name uint64) uint64 {
	h := name ^ key*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>29
}

// cost returns the estimated time to the first part of an answer from an
// endpoint, plus penalties, in milliseconds.
func (e *Edge) cost(r *request, row *endpoint, preferred bool) placement {
	row.decay(e.now)
	c := placement{
		endpoint: row,
	}
	running := float64(row.running + row.peerLoad.running)
	slowdown := max(row.slowdown, peerWeight*row.peerSlowdown)
	failureRate := max(row.failureRate, peerWeight*row.peerFailureRate)
	c.slowdown = slowdown
	s := e.config.services[r.service]
	engine := s != nil && s.Engine
	if engine {
		c.uncached = r.uncached(e.now, row)
		queued := row.prefill + row.peerLoad.prefill
		reread := max(c.uncached-r.unshared(), 0)
		c.cost = (float64(queued+c.uncached)/prefillTokensPerMs + running*runningCostMs) * slowdown
		c.cost += rereadFactor * float64(reread) / prefillTokensPerMs
		if preferred {
			c.cost -= preferredDiscount * float64(c.uncached) / prefillTokensPerMs
			c.cost -= e.unreportedShare() * preferredHitRate * (1 + rereadFactor - preferredDiscount) * float64(reread) / prefillTokensPerMs
		}
		limit := float64(s.Memory) * usableMemoryShare
		if needed := float64(row.memory + row.peerLoad.memory + r.memoryTokens()); limit > 0 && needed > limit {
			c.cost += memoryCostMs * (needed/limit - 0.5)
		}
		if slots := float64(s.Slots); slots > 0 && running >= slots {
			c.cost += memoryCostMs * (running + 1 - slots) / slots
		}
	} else {
		c.cost = serviceCostMs * slowdown * (1 + running/float64(max(row.replica.Slots, 1)))
		if slots := float64(row.replica.Slots); slots > 0 && running >= slots {
			c.cost += serviceCostMs * (running + 1 - slots)
		}
		c.cost += float64(e.rng.IntN(1000)) / 1000
	}
	if e.now.Before(row.backoffUntil) {
		c.cost += backoffCostMs
	}
	if !e.hasReturned(r, row) {
		c.cost += returnCost(engine)
	}
	if row.tunneled {
		c.cost += tunnelCostMs
	}
	c.cost += failureRate * failureCostMs
	return c
}

// unreportedShare returns the fraction of the fleet's reads that is not
// reported to this router.
func (e *Edge) unreportedShare() float64 {
	return 1 - min(1, reportFanout/float64(max(e.gossip.livePeers, 1)))
}

// affinityPart returns the part by which requests are kept together: the last but
// one, which is the last shared part, or the only one. It is zero if the route is
// not affine or there are no parts.
func (r *request) affinityPart() uint64 {
	parts := r.call.Parts
	switch {
	case !r.route.Affine || len(parts) == 0:
		return 0
	case len(parts) == 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// uncached returns the number of prompt tokens that an endpoint would have to
// read.
func (r *request) uncached(now time.Time, row *endpoint) waxwingwall.Tokens {
	remaining := r.call.Prompt
	for _, p := range r.call.Parts {
		if used, known := row.parts[p.ID]; !known || now.Sub(used) >= partRetention {
			break
		}
		remaining -= p.Tokens
	}
	return max(remaining, 0)
}

// unshared returns the number of prompt tokens that are not shared with other
// callers.
func (r *request) unshared() waxwingwall.Tokens {
	unshared := r.call.Prompt
	for i, p := range r.call.Parts {
		if i < len(r.call.Parts)-1 {
			unshared -= p.Tokens
		}
	}
	return max(unshared, 0)
}

// memoryTokens returns the number of tokens of an engine's memory that the
// request takes in addition to shared parts.
func (r *request) memoryTokens() waxwingwall.Tokens {
	return r.unshared() + r.call.MaxOutput/2
}

// recordLatency updates the slowdown with the time to the first part of an
// answer; expected is in milliseconds.
func (row *endpoint) recordLatency(latency time.Duration, expected float64) {
	ratio := min(max(float64(latency.Milliseconds()+1)/max(expected, 1), minSlowdown), maxSlowdown)
	row.slowdown += (ratio - row.slowdown) / slowdownSmoothing
}
