package bench

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Plan describes a comparison: each policy in each scenario with each seed, on
// one site.
type Plan struct {
	// Site, Scenarios and Policies are the names of those to compare.
	Site      string   `json:"site"`
	Scenarios []string `json:"scenarios"`
	Policies  []string `json:"policies"`

	// Seeds are the same for all policies.
	Seeds []uint64 `json:"seeds"`

	// Parallel is the maximum number of concurrent runs; zero means 1.
	Parallel int `json:"-"`
}

// Comparison is the result of a Plan.
type Comparison struct {
	// Plan is the plan that was run.
	Plan Plan `json:"plan"`

	// Rows has one row for each scenario and policy.
	Rows []Row `json:"rows"`
}

// Row summarizes one policy in one scenario over all seeds.
type Row struct {
	// Scenario and Policy are names as in Config.
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`

	// Ranks holds the results per rank, most urgent first.
	Ranks [rankCount]RankSpread `json:"ranks"`

	// Goodput is the ratio of served tokens to the engines' bound.
	Goodput Spread `json:"goodput"`

	// UsefulEngineTime is the useful fraction of the engines' time; see Result.
	UsefulEngineTime Spread `json:"useful_engine_time"`

	// PrefixHitRate is the fraction of the shared prompt tokens found cached.
	PrefixHitRate Spread `json:"prefix_hit_rate"`

	// RetryRate is the ratio of the routers' own retries to their first tries.
	RetryRate Spread `json:"retry_rate"`

	// ControlBytes is the traffic a router sends to its peers, in bytes per
	// second.
	ControlBytes Spread `json:"control_bytes_s"`

	// Crashes counts endpoint crashes.
	Crashes Spread `json:"crashes"`

	// DispatchedToLeaving is in seconds.
	DispatchedToLeaving Spread `json:"dispatched_to_leaving_s"`

	// RanAfterNotRun and RunMoreThanOnce are sums over the seeds.
	RanAfterNotRun  int `json:"ran_after_not_run"`
	RunMoreThanOnce int `json:"run_more_than_once"`

	// Results holds one result per seed.
	Results []Result `json:"results"`
}

// RankSpread summarizes the results of one rank. Rates are relative to the
// requests offered, those of small and large accounts to the requests of such
// accounts. AcceptedRetries is the fraction of the callers' retries that were
// not refused immediately.
type RankSpread struct {
	// Name is the name of the rank in Ranks.
	Name string `json:"name"`

	Served           Spread `json:"served"`
	InTarget         Spread `json:"in_target"`
	RefusedAtOnce    Spread `json:"refused_at_once"`
	RefusedLate      Spread `json:"refused_late"`
	FirstTokenP50    Spread `json:"first_token_p50_ms"`
	FirstTokenP99    Spread `json:"first_token_p99_ms"`
	BetweenTokensP95 Spread `json:"between_tokens_p95_ms"`
	AcceptedRetries  Spread `json:"accepted_after_hint"`
	SmallServed      Spread `json:"small_served"`
	LargeServed      Spread `json:"large_served"`
	SmallInTarget    Spread `json:"small_in_target"`
	LargeInTarget    Spread `json:"large_in_target"`

	// Goodput is the ratio of the rank's served tokens to the engines' bound.
	Goodput Spread `json:"goodput"`
}

// Spread is the mean, minimum and maximum over seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spreadOf(results []Result, f func(*Result) float64) Spread {
	s := Spread{
		Min: math.Inf(1),
		Max: math.Inf(-1),
	}
	for i := range results {
		x := f(&results[i])
		s.Mean += x / float64(len(results))
		s.Min = min(s.Min, x)
		s.Max = max(s.Max, x)
	}
	return s
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Compare runs all combinations of a plan.
func Compare(p Plan) (Comparison, error) {
	c := Comparison{
		Plan: p,
	}
	for _, scenario := range p.Scenarios {
		for _, policy := range p.Policies {
			c.Rows = append(c.Rows, Row{
				Scenario: scenario,
				Policy:   policy,
				Results:  make([]Result, len(p.Seeds)),
			})
		}
	}
	var g errgroup.Group
	var mu sync.Mutex
	g.SetLimit(max(1, p.Parallel))
	for i := range c.Rows {
		for k, seed := range p.Seeds {
			g.Go(func() error {
				res, err := Run(Config{
					Site:     p.Site,
					Scenario: c.Rows[i].Scenario,
					Policy:   c.Rows[i].Policy,
					Seed:     seed,
				})
				mu.Lock()
				defer mu.Unlock()
				c.Rows[i].Results[k] = res
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return c, err
	}
	for i := range c.Rows {
		c.Rows[i].summarize()
	}
	return c, nil
}

func (r *Row) summarize() {
	spread := func(f func(*Result) float64) Spread { return spreadOf(r.Results, f) }
	r.Goodput = spread(func(x *Result) float64 { return x.GoodputTokens / x.BoundTokens })
	r.UsefulEngineTime = spread(func(x *Result) float64 { return x.UsefulEngineTime })
	r.PrefixHitRate = spread(func(x *Result) float64 { return x.PrefixHitRate })
	r.RetryRate = spread(func(x *Result) float64 { return ratio(x.Retries, x.FirstTries) })
	r.ControlBytes = spread(func(x *Result) float64 { return x.ControlBytes })
	r.Crashes = spread(func(x *Result) float64 { return float64(x.Crashes) })
	r.DispatchedToLeaving = spread(func(x *Result) float64 { return x.DispatchedToLeaving })
	for i := range r.Results {
		r.RanAfterNotRun += r.Results[i].RanAfterNotRun
		r.RunMoreThanOnce += r.Results[i].RunMoreThanOnce
	}
	for k := range r.Ranks {
		r.summarizeRank(k)
	}
}

func (r *Row) summarizeRank(k int) {
	spread := func(f func(*RankResult) float64) Spread {
		return spreadOf(r.Results, func(x *Result) float64 { return f(&x.Ranks[k]) })
	}
	rate := func(f func(*RankResult) int) Spread {
		return spread(func(x *RankResult) float64 { return ratio(f(x), x.Offered) })
	}
	r.Ranks[k] = RankSpread{
		Name:             r.Results[0].Ranks[k].Name,
		Served:           rate(func(x *RankResult) int { return x.Served }),
		InTarget:         rate(func(x *RankResult) int { return x.InTarget }),
		RefusedAtOnce:    rate(func(x *RankResult) int { return x.RefusedAtOnce }),
		RefusedLate:      rate(func(x *RankResult) int { return x.RefusedLate }),
		FirstTokenP50:    spread(func(x *RankResult) float64 { return x.FirstToken.P50 }),
		FirstTokenP99:    spread(func(x *RankResult) float64 { return x.FirstToken.P99 }),
		BetweenTokensP95: spread(func(x *RankResult) float64 { return x.BetweenTokens.P95 }),
		AcceptedRetries: spread(func(x *RankResult) float64 {
			return ratio(x.CallerRetries-x.RefusedAgain, x.CallerRetries)
		}),
		SmallServed:   spread(func(x *RankResult) float64 { return ratio(x.Small.Served, x.Small.Offered) }),
		LargeServed:   spread(func(x *RankResult) float64 { return ratio(x.Large.Served, x.Large.Offered) }),
		SmallInTarget: spread(func(x *RankResult) float64 { return ratio(x.Small.InTarget, x.Small.Offered) }),
		LargeInTarget: spread(func(x *RankResult) float64 { return ratio(x.Large.InTarget, x.Large.Offered) }),
		Goodput: spreadOf(r.Results, func(x *Result) float64 {
			return x.Ranks[k].GoodputTokens / x.BoundTokens
		}),
	}
}

// String returns the mean with the minimum and maximum.
func (s Spread) String() string {
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Mean, s.Min, s.Max)
}

// WriteTable prints the comparison as a text table with one line for each
// scenario, policy and rank.
func (c Comparison) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tpolicy\trank\tserved\tin_target\tsmall_served\tlarge_served"+
		"\tfirst_p50_ms\tfirst_p99_ms\tbetween_p95_ms\tgoodput")
	for _, r := range c.Rows {
		for _, k := range r.Ranks {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.3f\n",
				r.Scenario, r.Policy, k.Name, k.Served, k.InTarget,
				k.SmallServed.Mean, k.LargeServed.Mean,
				k.FirstTokenP50.Mean, k.FirstTokenP99.Mean, k.BetweenTokensP95.Mean, k.Goodput.Mean)
		}
		fmt.Fprintf(w, "%s\t%s\tall\tprefix %.3f\tretries %.3f\tcrashes %.1f\tleaving %.2fs"+
			"\tran_after_not_run %d\trun_more_than_once %d\tuseful %.3f\t%.3f\n",
			r.Scenario, r.Policy, r.PrefixHitRate.Mean, r.RetryRate.Mean, r.Crashes.Mean,
			r.DispatchedToLeaving.Max, r.RanAfterNotRun, r.RunMoreThanOnce,
			r.UsefulEngineTime.Mean, r.Goodput.Mean)
	}
	return w.Flush()
}
