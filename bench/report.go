package bench

import (
	"fmt"
	"io"
	"strings"
)

// reportHeader names the columns of a report. Values of the three ranks are
// separated by slashes, most urgent first.
const reportHeader = `| policy | in target | urgent in target, min-max | served | small served | first token p99, ms | goodput | useful engine time | prefix hits | own retries | crashes | breaches |
|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteReport writes the comparison as Markdown, one table per scenario.
func (c Comparison) WriteReport(w io.Writer) error {
	scenario := ""
	for _, r := range c.Rows {
		if r.Scenario != scenario {
			scenario = r.Scenario
			if _, err := fmt.Fprintf(w, "\n### %s, %s\n\n%s", c.Plan.Site, scenario, reportHeader); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(w, r.line()); err != nil {
			return err
		}
	}
	return nil
}

func (r Row) line() string {
	perRank := func(format string, f func(RankSpread) Spread) string {
		var parts []string
		for _, k := range r.Ranks {
			parts = append(parts, fmt.Sprintf(format, f(k).Mean))
		}
		return strings.Join(parts, " / ")
	}
	cells := []string{
		r.Policy,
		perRank("%.3f", func(k RankSpread) Spread { return k.InTarget }),
		fmt.Sprintf("%.3f-%.3f", r.Ranks[0].InTarget.Min, r.Ranks[0].InTarget.Max),
		perRank("%.3f", func(k RankSpread) Spread { return k.Served }),
		perRank("%.3f", func(k RankSpread) Spread { return k.SmallServed }),
		perRank("%.0f", func(k RankSpread) Spread { return k.FirstTokenP99 }),
		perRank("%.3f", func(k RankSpread) Spread { return k.Goodput }),
		fmt.Sprintf("%.3f", r.UsefulEngineTime.Mean),
		fmt.Sprintf("%.3f", r.PrefixHitRate.Mean),
		fmt.Sprintf("%.3f", r.RetryRate.Mean),
		fmt.Sprintf("%.1f", r.Crashes.Mean),
		fmt.Sprint(r.RanAfterNotRun + r.RunMoreThanOnce),
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}
