package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/bench/fleet"
)

type fleetCommand struct {
	Scenarios []string      `long:"scenario" description:"Scenario, may be repeated; all without"`
	Routers   int           `long:"routers" default:"8" description:"Number of routers"`
	Budgets   int           `long:"budgets" default:"10" description:"Number of prepaid budgets"`
	Rate      float64       `long:"rate" default:"20" description:"Requests a second"`
	Length    time.Duration `long:"length" default:"10m" description:"Modelled time under load"`
	Cover     float64       `long:"cover" default:"0.9" description:"Part of what callers want that the budgets can pay"`
	Spread    int           `long:"spread" default:"1" description:"Slots of an account"`
	Seeds     uint64        `long:"seeds" default:"1" description:"Runs with the seeds 1 to this"`
	Out       string        `long:"out" description:"File for the JSON"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	scenarios := fleet.Scenarios()
	if len(c.Scenarios) > 0 {
		scenarios = nil
		for _, s := range c.Scenarios {
			scenarios = append(scenarios, fleet.Scenario(s))
		}
	}
	var results []fleet.Result
	for _, s := range scenarios {
		for seed := uint64(1); seed <= c.Seeds; seed++ {
			res, err := fleet.Run(fleet.Config{
				Scenario:    s,
				Routers:     c.Routers,
				Budgets:     c.Budgets,
				Rate:        c.Rate,
				Length:      c.Length,
				FundedShare: c.Cover,
				Spread:      c.Spread,
				Seed:        seed,
			})
			if err != nil {
				return trace.Wrap(err)
			}
			results = append(results, res)
		}
	}
	if c.Out != "" {
		if err := writeJSON(c.Out, results); err != nil {
			return err
		}
	}
	return printFleet(results)
}

func printFleet(results []fleet.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tseed\toffered\tserved\toverspend\trefused\tfalse\tfalse_share\tother\tunbilled\tdouble\twrites/s\treads/s\tmessages/s\tbytes/s")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%d %v\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\n",
			r.Scenario, r.Seed, r.Offered, r.Served, r.OverspendTokens, r.Refused, r.FalseRefusals, r.FalseRefusalShare,
			r.OtherRefusals, r.Reasons, r.Unbilled, r.DoubleBilled, r.Writes, r.Reads, r.Messages, r.Bytes)
		for _, b := range r.Violations {
			fmt.Fprintf(w, "broken: %s\n", b)
		}
	}
	return w.Flush()
}
