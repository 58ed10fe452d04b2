package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall/bench/overhead"
)

type overheadCommand struct {
	Callers   []int         `long:"callers" description:"Callers at the same time, may be repeated; 1 and 8 without"`
	Count     int           `long:"count" default:"2000" description:"Requests each way for each number of callers"`
	WarmUp    int           `long:"warm-up" default:"300" description:"Requests each way before that"`
	Tokens    int           `long:"tokens" default:"16" description:"Tokens of an answer"`
	TokenTime time.Duration `long:"token-time" default:"1ns" description:"The engine's time between tokens; sleeps are rounded up to 1 ms in an idle process"`
	Profile   string        `long:"profile" description:"File for a CPU profile of the measured part"`
	Out       string        `long:"out" description:"File for the JSON"`
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	if len(c.Callers) == 0 {
		c.Callers = []int{1, 8}
	}
	cfg := overhead.Config{
		Callers:   c.Callers,
		Count:     c.Count,
		WarmUp:    c.WarmUp,
		Tokens:    c.Tokens,
		TokenTime: c.TokenTime,
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer f.Close()
		cfg.Profile = f
	}
	results, err := overhead.Measure(context.Background(), cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Out != "" {
		if err := writeJSON(c.Out, results); err != nil {
			return err
		}
	}
	fmt.Println("milliseconds; + is the difference of quantiles to direct")
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "callers\tway\trequests\tfirst_p50\tfirst_p99\t+p50\t+p99\tend_p50\tend_p99\t+p50\t+p99\t")
	for _, r := range results {
		fmt.Fprintln(w, r)
	}
	return w.Flush()
}
