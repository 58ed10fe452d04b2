// Command waxwingbench measures scheduling policies in simulated time. It runs
// the same decision logic as the daemon; see package bench for the model.
//
//	waxwingbench run --site coulee --scenario steady --policy waxwingwall --seed 1
//	waxwingbench compare --scenario flood_least_urgent --seeds 5 --plots DIR
//	waxwingbench report --in FILE
//
// Results are JSON; compare also prints a table, and report prints the tables
// of docs/MEASURES.md.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"waxwingwall/bench"
)

type options struct {
	Run      runCommand      `command:"run" description:"Make one measurement"`
	Compare  compareCommand  `command:"compare" description:"Measure policies side by side"`
	Fleet    fleetCommand    `command:"fleet" description:"Measure budgets of whole routers under failure"`
	Capacity capacityCommand `command:"capacity" description:"Measure how the cost of control grows"`
	Overhead overheadCommand `command:"overhead" description:"Measure what a router adds to a request, with real sockets"`
	Report   reportCommand   `command:"report" description:"Print the outcome of compare as Markdown"`
}

type runCommand struct {
	Site     string `long:"site" default:"coulee" description:"Deployment"`
	Scenario string `long:"scenario" default:"steady" description:"Scenario"`
	Policy   string `long:"policy" default:"waxwingwall" description:"Policy"`
	Seed     uint64 `long:"seed" default:"1" description:"Seed"`
	Out      string `long:"out" description:"File for the JSON; standard output without"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	res, err := bench.Run(bench.Config{
		Site:     c.Site,
		Scenario: c.Scenario,
		Policy:   c.Policy,
		Seed:     c.Seed,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return writeJSON(c.Out, res)
}

type compareCommand struct {
	Site      string   `long:"site" default:"coulee" description:"Deployment"`
	Scenarios []string `long:"scenario" description:"Scenario, may be repeated; all without"`
	Policies  []string `long:"policy" description:"Policy, may be repeated; all without"`
	Seeds     uint64   `long:"seeds" default:"3" description:"Runs with the seeds 1 to this"`
	Parallel  int      `long:"parallel" default:"2" description:"Runs at the same time"`
	Out       string   `long:"out" description:"File for the JSON"`
	Plots     string   `long:"plots" description:"Directory for a plot of each scenario"`
	Format    string   `long:"format" default:"png" choice:"png" choice:"svg" description:"Format of the plots"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	res, err := bench.Compare(c.plan())
	if err != nil {
		return trace.Wrap(err)
	}
	if err := res.WriteTable(os.Stdout); err != nil {
		return trace.Wrap(err)
	}
	if c.Out != "" {
		if err := writeJSON(c.Out, res); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.Plots == "" {
		return nil
	}
	for _, sc := range res.Plan.Scenarios {
		file := filepath.Join(c.Plots, c.Site+"_"+sc+"."+c.Format)
		if err := res.Plot(sc, file); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *compareCommand) plan() bench.Plan {
	p := bench.Plan{
		Site:      c.Site,
		Scenarios: c.Scenarios,
		Policies:  c.Policies,
		Parallel:  c.Parallel,
	}
	if len(p.Scenarios) == 0 {
		for _, sc := range bench.Scenarios() {
			p.Scenarios = append(p.Scenarios, sc.Name)
		}
	}
	if len(p.Policies) == 0 {
		p.Policies = bench.Policies()
	}
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		p.Seeds = append(p.Seeds, seed)
	}
	return p
}

type reportCommand struct {
	In string `long:"in" required:"true" description:"File that compare wrote"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	data, err := os.ReadFile(c.In)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var res bench.Comparison
	if err := json.Unmarshal(data, &res); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(res.WriteReport(os.Stdout))
}

// writeJSON writes v to a file, or to standard output if file is empty.
func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	data = append(data, '\n')
	if file == "" {
		_, err := os.Stdout.Write(data)
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(file, data, 0o644))
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
