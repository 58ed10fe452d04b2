// Package bench measures scheduling policies in modelled time.
//
// A run drives one Policy per router, the same package sched that the daemon
// runs or a baseline, against modelled endpoints, messages and callers. Load is
// open-loop: arrivals never wait for answers. The callers behave as real ones:
// they come back when told to, keep address answers, and leave after a while.
// The first part of a run, the warm-up, is cut from the measurement.
//
// A model engine runs steps; each generates a token for every request of its
// batch and works off a bounded part of the prompts that wait. Its prefix cache
// is bounded. Nothing of a policy looks into the model.
//
// Run makes one measurement, Compare several with their spread, and Plot draws
// them. All results of one seed are the same on each run.
package bench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config chooses one run.
type Config struct {
	// Site, Scenario and Policy are names.
	Site     string `json:"site"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`

	// Seed makes the arrivals and all else that is random.
	Seed uint64 `json:"seed"`
}

// Result is what one run measured.
type Result struct {
	// Config is what was run.
	Config Config `json:"config"`

	// Ranks has the figures of each rank, the most urgent first.
	Ranks [rankCount]RankResult `json:"ranks"`

	// WaitBeforeRefusal is how long the requests that were refused late had waited.
	WaitBeforeRefusal Quantiles `json:"held"`

	// PrefixHitRate is the part of the shared prompt tokens found cached.
	PrefixHitRate float64 `json:"prefix_hit_rate"`

	// FirstTries and Retries count dispatches by the routers.
	FirstTries int `json:"first_tries"`
	Retries    int `json:"retries"`

	// RanAfterNotRun and RunMoreThanOnce count breaches of safety: runs after
	// their caller was told not_run, and second runs of non-idempotent work.
	RanAfterNotRun  int `json:"ran_after_not_run"`
	RunMoreThanOnce int `json:"run_more_than_once"`

	// Crashes counts crashes of endpoints, PoisonRefused the refusals of the
	// request that crashes them.
	Crashes       int `json:"crashes"`
	PoisonRefused int `json:"poison_refused"`

	// DispatchedToLeaving is the longest time, in seconds, after which an
	// endpoint that was leaving still got new work.
	DispatchedToLeaving float64 `json:"dispatched_to_leaving_s"`

	// ControlBytes is what a router sends to its peers, in bytes a second.
	ControlBytes float64 `json:"control_bytes_s"`

	// GoodputTokens counts the tokens of served requests in the window, Bound
	// the tokens that the engines could at most have generated in it.
	GoodputTokens float64 `json:"goodput_tokens"`
	BoundTokens   float64 `json:"bound_tokens"`

	// UsefulEngineTime is the part of the engines' time that the served requests would
	// have taken in full batches with all shared prefixes cached; 1 is ideal.
	UsefulEngineTime float64 `json:"useful_engine_time"`
}

// RankResult is what one run measured for one rank.
type RankResult struct {
	// Name is the rank's name.
	Name string `json:"name"`

	// Offered counts requests, each once; Served those answered whole, and
	// InTarget those served within the rank's targets, counted from the first
	// try.
	Offered  int `json:"offered"`
	Served   int `json:"served"`
	InTarget int `json:"in_target"`

	// RefusedAtOnce counts refusals without delay, RefusedLate those of queued
	// or failed work. One request may be refused several times.
	RefusedAtOnce int `json:"refused_at_once"`
	RefusedLate   int `json:"refused_late"`

	// CallerRetries counts tries after the first, RefusedAgain those of them
	// that were refused at once.
	CallerRetries int `json:"caller_retries"`
	RefusedAgain  int `json:"refused_again"`

	// CallerLeft, Unknown and NotRetried count the requests that weren't served by why.
	CallerLeft int `json:"left"`
	Unknown    int `json:"unknown"`
	NotRetried int `json:"gave_up"`

	// GoodputTokens counts the tokens of served requests in the window.
	GoodputTokens float64 `json:"goodput_tokens"`

	// FirstToken is counted from the caller's first try.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`

	// Small and Large split the requests by the size of their account.
	Small SizeResult `json:"small"`
	Large SizeResult `json:"large"`
}

// SizeResult counts the requests of small or of large accounts.
type SizeResult struct {
	Offered  int `json:"offered"`
	Served   int `json:"served"`
	InTarget int `json:"in_target"`
}

// Quantiles are in milliseconds.
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

// Run makes one measurement.
func Run(c Config) (Result, error) {
	site, ok := siteNamed(c.Site)
	if !ok {
		return Result{}, fmt.Errorf("no site %q", c.Site)
	}
	sc, ok := scenarioNamed(c.Scenario)
	if !ok {
		return Result{}, fmt.Errorf("no scenario %q", c.Scenario)
	}
	p := policyNamed(c.Policy)
	if p == nil {
		return Result{}, fmt.Errorf("no policy %q", c.Policy)
	}
	if c.Policy == SingleRouter {
		site.Routers = 1
	}
	return measure(site, sc, p, c), nil
}

// measure runs a scenario at a site.
func measure(site Site, sc Scenario, p PolicyFunc, c Config) Result {
	w := newWorld(site, sc, p, c.Seed)
	for r := range rankCount {
		w.scheduleArrivals(r)
	}
	if sc.Faults != nil {
		sc.Faults(w)
	}
	w.runUntil(epoch.Add(sc.WarmUp + sc.Window + drainTime))
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
	tokensPerEngine := modelSlots * m.world.sc.Window.Seconds() / step.Seconds()
	seconds := m.world.now.Sub(epoch).Seconds() * float64(len(m.world.routers))
	res.ControlBytes = float64(m.sampledBytes.bytes) * messagesPerSample / seconds
	res.UsefulEngineTime = m.usefulSeconds / m.world.sc.Window.Seconds() / float64(m.world.site.Models)
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
	for _, sc := range Scenarios() {
		if sc.Name == name {
			return sc, true
		}
	}
	return Scenario{}, false
}
