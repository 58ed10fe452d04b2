// Package bench measures scheduling policies in simulated time.
//
// A run drives one Policy per router, either package sched, which the daemon
// runs, or a baseline, against simulated endpoints, messages and callers. Load
// is open-loop: arrivals never wait for answers. Callers retry after the
// Retry-After of a refusal, try the next router when one does not answer, and
// leave after a timeout. The measurement excludes a warm-up period.
//
// A model engine runs in steps. Each step generates one token for every request
// of the batch whose prompt is processed, and processes a bounded part of the
// remaining prompts. The engine's prefix cache is bounded. Policies have no
// access to the state of the simulation.
//
// Run makes one measurement, Compare makes several and reports their spread,
// and Plot draws them. Runs with equal seeds give equal results.
package bench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config selects one run.
type Config struct {
	// Site, Scenario and Policy are the names of those to run.
	Site     string `json:"site"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`

	// Seed initializes the random number generators.
	Seed uint64 `json:"seed"`
}

// Result holds the measurements of one run.
type Result struct {
	// Config is the configuration of the run.
	Config Config `json:"config"`

	// Ranks holds the results per rank, most urgent first.
	Ranks [rankCount]RankResult `json:"ranks"`

	// WaitBeforeRefusal is the time from the arrival at the owner to a late
	// refusal.
	WaitBeforeRefusal Quantiles `json:"held"`

	// PrefixHitRate is the fraction of the shared prompt tokens found cached.
	PrefixHitRate float64 `json:"prefix_hit_rate"`

	// FirstTries and Retries count the dispatches by routers: first attempts and
	// later ones.
	FirstTries int `json:"first_tries"`
	Retries    int `json:"retries"`

	// RanAfterNotRun and RunMoreThanOnce count safety violations: runs after the
	// caller received the outcome not_run, and repeated runs of non-idempotent
	// work.
	RanAfterNotRun  int `json:"ran_after_not_run"`
	RunMoreThanOnce int `json:"run_more_than_once"`

	// Crashes counts endpoint crashes. PoisonRefused counts the immediate refusals
	// of requests that would crash their endpoint.
	Crashes       int `json:"crashes"`
	PoisonRefused int `json:"poison_refused"`

	// DispatchedToLeaving is the longest time, in seconds, from the start of an
	// endpoint's drain to a dispatch to it.
	DispatchedToLeaving float64 `json:"dispatched_to_leaving_s"`

	// ControlBytes is the traffic a router sends to its peers, in bytes per
	// second.
	ControlBytes float64 `json:"control_bytes_s"`

	// GoodputTokens counts the tokens of served requests generated in the
	// measurement window. BoundTokens is the maximum number of tokens that the
	// engines can generate in it.
	GoodputTokens float64 `json:"goodput_tokens"`
	BoundTokens   float64 `json:"bound_tokens"`

	// UsefulEngineTime is the fraction of the engines' time that the served
	// requests take in full batches with all shared prefixes cached; 1 is ideal.
	UsefulEngineTime float64 `json:"useful_engine_time"`
}

// RankResult holds the measurements of one run for one rank.
type RankResult struct {
	// Name is the name of the rank in Ranks.
	Name string `json:"name"`

	// Offered counts requests, regardless of the number of tries; Served those
	// answered completely, and InTarget those served within the rank's latency
	// targets, measured from the first try.
	Offered  int `json:"offered"`
	Served   int `json:"served"`
	InTarget int `json:"in_target"`

	// RefusedAtOnce counts immediate refusals, RefusedLate refusals of queued or
	// failed work. One request may be refused several times.
	RefusedAtOnce int `json:"refused_at_once"`
	RefusedLate   int `json:"refused_late"`

	// CallerRetries counts tries after the first, RefusedAgain immediate
	// refusals of such tries.
	CallerRetries int `json:"caller_retries"`
	RefusedAgain  int `json:"refused_again"`

	// CallerLeft, Unknown and NotRetried count requests that were not served:
	// the caller left, the outcome is unknown, or a refusal had no Retry-After.
	CallerLeft int `json:"left"`
	Unknown    int `json:"unknown"`
	NotRetried int `json:"gave_up"`

	// GoodputTokens counts the tokens of served requests generated in the
	// measurement window.
	GoodputTokens float64 `json:"goodput_tokens"`

	// FirstToken is the time from the caller's first try to the first token,
	// BetweenTokens the time between consecutive tokens.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`

	// Small and Large divide the requests by the size of their account.
	Small SizeResult `json:"small"`
	Large SizeResult `json:"large"`
}

// SizeResult counts the requests of small or of large accounts.
type SizeResult struct {
	Offered  int `json:"offered"`
	Served   int `json:"served"`
	InTarget int `json:"in_target"`
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	return Quantiles{
		P50: millis(50),
		P95: millis(95),
		P99: millis(99),
	}
}

// Run makes one measurement. It returns an error if a name in c is unknown.
func Run(c Config) (Result, error) {
	site, ok := siteNamed(c.Site)
	if !ok {
		return Result{}, fmt.Errorf("unknown site %q", c.Site)
	}
	scenario, ok := scenarioNamed(c.Scenario)
	if !ok {
		return Result{}, fmt.Errorf("unknown scenario %q", c.Scenario)
	}
	p := policyNamed(c.Policy)
	if p == nil {
		return Result{}, fmt.Errorf("unknown policy %q", c.Policy)
	}
	if c.Policy == SingleRouter {
		site.Routers = 1
	}
	return measure(site, scenario, p, c), nil
}

// measure runs a scenario on a site.
func measure(site Site, scenario Scenario, p PolicyFunc, c Config) Result {
	w := newWorld(site, scenario, p, c.Seed)
	for r := range rankCount {
		w.scheduleArrivals(r)
	}
	if scenario.Faults != nil {
		scenario.Faults(w)
	}
	w.runUntil(epoch.Add(scenario.WarmUp + scenario.Window + settleTime))
	return w.meter.finish(c)
}

func (m *meter) finish(c Config) Result {
	res := m.result
	res.Config = c
	for r, spec := range Ranks() {
		res.Ranks[r].Name = spec.Name
		res.Ranks[r].FirstToken = quantiles(m.firstToken[r])
		res.Ranks[r].BetweenTokens = quantiles(m.betweenTokens[r])
		res.GoodputTokens += res.Ranks[r].GoodputTokens
	}
	res.WaitBeforeRefusal = quantiles(m.waitBeforeRefusal)
	if m.prefixTokens > 0 {
		res.PrefixHitRate = float64(m.cachedTokens) / float64(m.prefixTokens)
	}
	step := stepBase + modelSlots*stepPerRequest
	tokensPerEngine := modelSlots * m.world.scenario.Window.Seconds() / step.Seconds()
	seconds := m.world.now.Sub(epoch).Seconds() * float64(len(m.world.routers))
	res.ControlBytes = float64(m.sampledBytes.bytes) * messagesPerSample / seconds
	res.UsefulEngineTime = m.usefulSeconds / m.world.scenario.Window.Seconds() / float64(m.world.site.Models)
	res.BoundTokens = tokensPerEngine * float64(m.world.site.Models)
	return res
}

func siteNamed(name string) (Site, bool) {
	for _, s := range Sites() {
		if s.Name == name {
			return s, true
		}
	}
	return Site{}, false
}

func scenarioNamed(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
