package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"waxwingwall/bench/capacity"
)

type capacityCommand struct {
	Axes []string `long:"axis" description:"Axis, may be repeated; all without"`
	Seed uint64   `long:"seed" default:"1" description:"Seed"`
	Out  string   `long:"out" description:"File for the JSON"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	axes := capacity.Axes()
	if len(c.Axes) > 0 {
		axes = nil
		for _, a := range c.Axes {
			axes = append(axes, capacity.Axis(a))
		}
	}
	var all []capacity.Point
	for _, a := range axes {
		points, err := capacity.Measure(a, c.Seed)
		if err != nil {
			return trace.Wrap(err)
		}
		all = append(all, points...)
	}
	if c.Out != "" {
		if err := writeJSON(c.Out, all); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "axis\tvalue\tcpu_%\theap_MB\tmessages/s\tbytes/s\twrites/s\treads/s\t")
	for _, p := range all {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.2f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", p.Axis, p.Value, 100*p.CPU, p.Heap/1e6, p.Messages, p.Bytes, p.Writes, p.Reads)
	}
	return w.Flush()
}
