package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond, until
	// its pace is known to differ.
	readRate = 60.0

	// stepCost is by how many milliseconds each running request delays the
	// first token of another.
	stepCost = 1.5

	// homeShare is which part of the time to read a prompt an endpoint is ahead
	// of others if the prompt falls to it, so that a prompt that nobody keeps
	// begins at one place.
	homeShare = 0.3

	// homeTrust is how sure a router is that a prompt of whose reads it did not
	// hear was read where it falls to: as sure as half of the prompts are asked
	// for again while they are kept.
	homeTrust = 0.7

	// rereadCost is how many times the time to read shared parts counts on top
	// where they are not kept: they delay all that runs there, and take memory
	// from other parts.
	rereadCost = 2.5

	// faultCost is what a run that is sure to fail counts, in milliseconds.
	faultCost = 4000.0

	// avoidCost is added for an endpoint that lately could not be reached.
	avoidCost = 20000.0

	// memoryCost is added, in milliseconds, where a request would overfill an
	// engine's memory.
	memoryCost = 3000.0

	// memoryShare is the part of an engine's memory that is planned with.
	memoryShare = 0.9

	// serviceCost is what one request ahead on a plain service's slot counts,
	// in milliseconds.
	serviceCost = 30.0

	// paceRuns is over how many runs the pace is smoothed; paceLeast and
	// paceMost bound it.
	paceRuns  = 8
	paceLeast = 0.5
	paceMost  = 10.0
)

// choice is where a request goes, and what decided it.
type choice struct {
	endpoint *endpoint
	cost     float64
	unread   waxwingwall.Tokens
	among    int
}

// choose returns the endpoint at which the first answer is expected soonest.
// Endpoints in tried are taken only if there is no other.
func (e *Edge) choose(r *request) (choice, bool) {
	var best choice
	rows := e.endpoints.byService[r.service]
	home := e.home(rows, r.affinity())
	among := 0
	for _, row := range rows {
		if !row.usable() || r.tried[row.replica.Endpoint] {
			continue
		}
		c := e.cost(r, row, row == home)
		if among == 0 || c.cost < best.cost {
			best = c
		}
		among++
	}
	best.among = among
	return best, among > 0
}

// home is the endpoint that a part falls to. The order is the same at all
// routers, so that they need not tell each other what is kept where.
func (e *Edge) home(rows []*endpoint, part uint64) *endpoint {
	if part == 0 {
		return nil
	}
	var best *endpoint
	var top uint64
	for _, row := range rows {
		if !row.usable() || e.now.Before(row.avoid) {
			continue
		}
		if h := rank(part, row.replica.Endpoint); best == nil || h > top {
			best = row
			top = h
		}
	}
	return best
}

// rank orders endpoints for a part.
func rank(part uint64, id waxwingwall.Endpoint) uint64 {
	h := xxhash.Sum64String(string(id)) ^ part*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>29
}

// cost estimates when the first answer comes from an endpoint, in
// milliseconds.
func (e *Edge) cost(r *request, row *endpoint, home bool) choice {
	row.decay(e.now)
	c := choice{
		endpoint: row,
	}
	running := float64(row.running + row.others.running)
	if s := e.rules.services[r.service]; s != nil && s.Engine {
		c.unread = r.unread(e.now, row)
		queue := row.prefill + row.others.prefill
		again := max(c.unread-r.own(), 0)
		c.cost = (float64(queue+c.unread)/readRate + running*stepCost) * row.pace
		c.cost += rereadCost * float64(again) / readRate
		if home {
			c.cost -= homeShare * float64(c.unread) / readRate
			c.cost -= e.unheard() * homeTrust * (1 + rereadCost - homeShare) * float64(again) / readRate
		}
		limit := float64(s.Memory) * memoryShare
		if held := float64(row.memory + row.others.memory + r.holds()); limit > 0 && held > limit {
			c.cost += memoryCost * (held/limit - 0.5)
		}
		if slots := float64(s.Slots); slots > 0 && running >= slots {
			c.cost += memoryCost * (running + 1 - slots) / slots
		}
	} else {
		c.cost = serviceCost * row.pace * (1 + running/float64(max(row.replica.Slots, 1)))
		if slots := float64(row.replica.Slots); slots > 0 && running >= slots {
			c.cost += serviceCost * (running + 1 - slots)
		}
		c.cost += float64(e.rng.IntN(1000)) / 1000
	}
	if e.now.Before(row.avoid) {
		c.cost += avoidCost
	}
	c.cost += row.faults * faultCost
	return c
}

// unheard returns the part of the fleet's reads of which this router isn't told.
func (e *Edge) unheard() float64 {
	return 1 - min(1, maxTold/float64(max(e.news.peers, 1)))
}

// affinity is the part by which requests are kept together: the last one that
// is shared; zero if there is none.
func (r *request) affinity() uint64 {
	parts := r.call.Parts
	switch {
	case !r.route.Affine || len(parts) == 0:
		return 0
	case len(parts) == 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// unread returns how many tokens of the prompt an endpoint still has to read.
func (r *request) unread(now time.Time, row *endpoint) waxwingwall.Tokens {
	left := r.call.Prompt
	for _, p := range r.call.Parts {
		if used, known := row.parts[p.ID]; !known || now.Sub(used) >= keepParts {
			break
		}
		left -= p.Tokens
	}
	return max(left, 0)
}

// own returns how many tokens of the prompt nobody else asks for.
func (r *request) own() waxwingwall.Tokens {
	own := r.call.Prompt
	for i, p := range r.call.Parts {
		if i < len(r.call.Parts)-1 {
			own -= p.Tokens
		}
	}
	return max(own, 0)
}

// holds returns how many tokens of an engine's memory the request takes beyond
// what it shares.
func (r *request) holds() waxwingwall.Tokens {
	return r.own() + r.call.MaxOutput/2
}

// paced takes in how long a first answer took.
func (row *endpoint) paced(took time.Duration, expected float64) {
	ratio := min(max(float64(took.Milliseconds()+1)/max(expected, 1), paceLeast), paceMost)
	row.pace += (ratio - row.pace) / paceRuns
}
