package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

const (
	// prefillTokensPerMs is how many prompt tokens an engine reads in a millisecond, until
	// its pace is known to differ.
	prefillTokensPerMs = 60.0

	// runningCostMs is by how many milliseconds each running request delays the
	// first token of another.
	runningCostMs = 1.5

	// preferredDiscount is which part of the time to read a prompt an endpoint is ahead
	// of others if the prompt falls to it, so that a prompt that nobody keeps
	// begins at one place.
	preferredDiscount = 0.3

	// preferredHitRate is how sure a router is that a prompt of whose reads it did not
	// hear was read where it falls to: as sure as half of the prompts are asked
	// for again while they are kept.
	preferredHitRate = 0.7

	// rereadFactor is how many times the time to read shared parts counts on top
	// where they are not kept: they delay all that runs there, and take memory
	// from other parts.
	rereadFactor = 2.5

	// failureCostMs is what a run that is sure to fail counts, in milliseconds.
	failureCostMs = 4000.0

	// avoidCostMs is added for an endpoint that lately could not be reached.
	avoidCostMs = 20000.0

	// memoryCostMs is added, in milliseconds, where a request would overfill an
	// engine's memory.
	memoryCostMs = 3000.0

	// usableMemoryShare is the part of an engine's memory that is planned with.
	usableMemoryShare = 0.9

	// serviceCostMs is what one request ahead on a plain service's slot counts,
	// in milliseconds.
	serviceCostMs = 30.0

	// slowdownSmoothing is over how many runs the pace is smoothed; minSlowdown and
	// paceMost bound it.
	slowdownSmoothing = 8
	minSlowdown       = 0.5
	maxSlowdown       = 10.0
)

// placement is where a request goes, and what decided it.
type placement struct {
	endpoint   *endpoint
	cost       float64
	uncached   waxwingwall.Tokens
	candidates int
}

// choose returns the endpoint at which the first answer is expected soonest.
// Endpoints in tried are taken only if there is no other.
func (e *Edge) choose(r *request) (placement, bool) {
	var best placement
	rows := e.endpoints.byService[r.service]
	preferred := e.preferredEndpoint(rows, r.affinityPart())
	count := 0
	for _, row := range rows {
		if !row.usable() || r.tried[row.replica.Endpoint] {
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

// preferredEndpoint is the endpoint that a part falls to. The order is the same at all
// routers, so that they need not tell each other what is kept where.
func (e *Edge) preferredEndpoint(rows []*endpoint, part uint64) *endpoint {
	if part == 0 {
		return nil
	}
	var best *endpoint
	var highest uint64
	for _, row := range rows {
		if !row.usable() || e.now.Before(row.avoidUntil) {
			continue
		}
		if h := rendezvousHash(part, row.replica.Endpoint); best == nil || h > highest {
			best = row
			highest = h
		}
	}
	return best
}

// rendezvousHash orders endpoints for a part.
func rendezvousHash(part uint64, id waxwingwall.Endpoint) uint64 {
	h := xxhash.Sum64String(string(id)) ^ part*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>29
}

// cost estimates when the first answer comes from an endpoint, in
// milliseconds.
func (e *Edge) cost(r *request, row *endpoint, preferred bool) placement {
	row.decay(e.now)
	c := placement{
		endpoint: row,
	}
	running := float64(row.running + row.peerLoad.running)
	if s := e.config.services[r.service]; s != nil && s.Engine {
		c.uncached = r.uncached(e.now, row)
		queued := row.prefill + row.peerLoad.prefill
		reread := max(c.uncached-r.unshared(), 0)
		c.cost = (float64(queued+c.uncached)/prefillTokensPerMs + running*runningCostMs) * row.slowdown
		c.cost += rereadFactor * float64(reread) / prefillTokensPerMs
		if preferred {
			c.cost -= preferredDiscount * float64(c.uncached) / prefillTokensPerMs
			c.cost -= e.unreportedShare() * preferredHitRate * (1 + rereadFactor - preferredDiscount) * float64(reread) / prefillTokensPerMs
		}
		limit := float64(s.Memory) * usableMemoryShare
		if held := float64(row.memory + row.peerLoad.memory + r.memoryTokens()); limit > 0 && held > limit {
			c.cost += memoryCostMs * (held/limit - 0.5)
		}
		if slots := float64(s.Slots); slots > 0 && running >= slots {
			c.cost += memoryCostMs * (running + 1 - slots) / slots
		}
	} else {
		c.cost = serviceCostMs * row.slowdown * (1 + running/float64(max(row.replica.Slots, 1)))
		if slots := float64(row.replica.Slots); slots > 0 && running >= slots {
			c.cost += serviceCostMs * (running + 1 - slots)
		}
		c.cost += float64(e.rng.IntN(1000)) / 1000
	}
	if e.now.Before(row.avoidUntil) {
		c.cost += avoidCostMs
	}
	c.cost += row.failureRate * failureCostMs
	return c
}

// unreportedShare returns the part of the fleet's reads of which this router isn't told.
func (e *Edge) unreportedShare() float64 {
	return 1 - min(1, reportFanout/float64(max(e.gossip.alivePeers, 1)))
}

// affinityPart is the part by which requests are kept together: the last one that
// is shared; zero if there is none.
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

// uncached returns how many tokens of the prompt an endpoint still has to read.
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

// unshared returns how many tokens of the prompt nobody else asks for.
func (r *request) unshared() waxwingwall.Tokens {
	unshared := r.call.Prompt
	for i, p := range r.call.Parts {
		if i < len(r.call.Parts)-1 {
			unshared -= p.Tokens
		}
	}
	return max(unshared, 0)
}

// memoryTokens returns how many tokens of an engine's memory the request takes beyond
// what it shares.
func (r *request) memoryTokens() waxwingwall.Tokens {
	return r.unshared() + r.call.MaxOutput/2
}

// recordLatency takes in how long a first answer took.
func (row *endpoint) recordLatency(latency time.Duration, expected float64) {
	ratio := min(max(float64(latency.Milliseconds()+1)/max(expected, 1), minSlowdown), maxSlowdown)
	row.slowdown += (ratio - row.slowdown) / slowdownSmoothing
}
