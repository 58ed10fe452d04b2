// Package overhead measures what a router adds to a request.
//
// It runs a small fleet in this process, on loopback with real sockets, and
// asks for the same streamed completion three ways: of an engine directly, of
// the router that owns the account's slot, and of a router that has to pass the
// request on. Every caller takes the ways in turn, request by request, so that
// all see the same machine. The engine is a stand-in whose batch is never full.
//
// A difference of quantiles is not a quantile of differences: no request is
// paired with another.
package overhead

import (
	"context"
	"fmt"
	"io"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"waxwingwall/demo"
	"waxwingwall/sim"
)

const (
	// engineBatch is above any number of callers.
	engineBatch = 1024

	// budgetTokens pays for any run.
	budgetTokens = 1_000_000_000

	// homeTries bounds the looks for the account's home, homePause apart. A
	// young fleet moves slots; the home has to be the same homeSame times.
	homeTries = 30
	homeSame  = 4
	homePause = time.Second

	// The histograms hold microseconds.
	histLow    = 1
	histHigh   = int64(time.Minute / time.Microsecond)
	histDigits = 3
)

// Way is how a request reaches the engine.
type Way string

// The ways, in the order in which they are taken.
const (
	// Direct goes to the engine.
	Direct Way = "direct"

	// Owner goes to the router that owns the account's slot.
	Owner Way = "owner"

	// Passed goes to a router that passes it on to the owner.
	Passed Way = "passed_on"
)

// Ways returns all ways.
func Ways() []Way {
	return []Way{Direct, Owner, Passed}
}

// Config says what is measured.
type Config struct {
	// Callers are the numbers of callers at the same time, measured one after
	// the other.
	Callers []int `json:"callers"`

	// Count is the number of requests each way, for each number of callers.
	Count int `json:"count"`

	// WarmUp is the number of requests each way before that.
	WarmUp int `json:"warm_up"`

	// Tokens is the length of an answer.
	Tokens int `json:"tokens"`

	// TokenTime is the engine's time between tokens.
	TokenTime time.Duration `json:"token_time_ns"`

	// Profile takes a CPU profile of the measured part; nil for none.
	Profile io.Writer `json:"-"`
}

// Quantiles are the median and the 99th percentile, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Timing is one time of a request's, with what a way adds to the quantiles of
// Direct.
type Timing struct {
	Quantiles
	Added Quantiles `json:"added"`
}

// Result is what one way took with one number of callers.
type Result struct {
	Callers int `json:"callers"`
	Way     Way `json:"way"`
	Count   int `json:"count"`

	// First is the time from the call to the first token.
	First Timing `json:"first_token"`

	// End is the time from the call to the end of the stream.
	End Timing `json:"end"`
}

// Measure starts a fleet and measures it. A request that fails, or whose answer
// isn't whole, ends the measurement with an error, as does a slot that moves.
func Measure(ctx context.Context, c Config) ([]Result, error) {
	fleet, stop, err := demo.Start(ctx, demo.WithBudget(budgetTokens), demo.WithEngine(sim.EngineConfig{
		Batch:       engineBatch,
		Queue:       engineBatch,
		TokenTime:   c.TokenTime,
		PrefillTime: time.Nanosecond,
	}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer stop()
	home, err := findHome(fleet)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callers := fleet.CallerAddresses()
	asks := newAsks(c.Tokens, fleet.EngineAddress().String(), callers[home], callers[(home+1)%len(callers)])
	for _, n := range c.Callers {
		if _, err := round(ctx, asks, n, c.WarmUp); err != nil {
			return nil, trace.Wrap(err, "warm-up")
		}
	}
	if c.Profile != nil {
		if err := pprof.StartCPUProfile(c.Profile); err != nil {
			return nil, trace.Wrap(err)
		}
		defer pprof.StopCPUProfile()
	}
	before := fleet.EngineRuns(home)
	var all []Result
	for _, n := range c.Callers {
		meters, err := round(ctx, asks, n, c.Count)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, results(n, meters)...)
	}
	if ran, want := fleet.EngineRuns(home)-before, 2*c.Count*len(c.Callers); ran < want {
		return nil, trace.CompareFailed("the owner ran %d of %d requests: the slot moved", ran, want)
	}
	return all, nil
}

// findHome returns the router that owns the account's slot, once it stays.
func findHome(fleet *demo.Fleet) (int, error) {
	last, same := -1, 0
	for range homeTries {
		home, err := fleet.OwnerIndex()
		if err != nil || home != last {
			same = 0
		}
		if same++; err == nil && same == homeSame {
			return home, nil
		}
		last = home
		time.Sleep(homePause)
	}
	return 0, trace.LimitExceeded("the account's home doesn't stay")
}

// meter holds the times of one way.
type meter struct {
	mu         sync.Mutex
	first, end *hdrhistogram.Histogram
}

func (m *meter) add(first, end time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.first.RecordValue(first.Microseconds()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(m.end.RecordValue(end.Microseconds()))
}

// round lets the callers make count requests each way between them. Which way
// comes first goes round.
func round(ctx context.Context, asks []ask, callers, count int) ([]meter, error) {
	meters := make([]meter, len(asks))
	for i := range meters {
		meters[i].first = hdrhistogram.New(histLow, histHigh, histDigits)
		meters[i].end = hdrhistogram.New(histLow, histHigh, histDigits)
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range callers {
		group.Go(func() error {
			for n := i; n < count; n += callers {
				if err := turn(ctx, asks, n, meters); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return meters, group.Wait()
}

// turn makes one request each way.
func turn(ctx context.Context, asks []ask, n int, meters []meter) error {
	for k := range asks {
		w := (n + k) % len(asks)
		first, end, err := asks[w].run(ctx, n)
		if err != nil {
			return trace.Wrap(err, "%s", Ways()[w])
		}
		if err := meters[w].add(first, end); err != nil {
			return err
		}
	}
	return nil
}

func results(callers int, meters []meter) []Result {
	var all []Result
	for w, way := range Ways() {
		all = append(all, Result{
			Callers: callers,
			Way:     way,
			Count:   int(meters[w].end.TotalCount()),
			First:   timing(meters[w].first, meters[0].first),
			End:     timing(meters[w].end, meters[0].end),
		})
	}
	return all
}

func timing(h, direct *hdrhistogram.Histogram) Timing {
	q, base := quantiles(h), quantiles(direct)
	return Timing{
		Quantiles: q,
		Added: Quantiles{
			P50: q.P50 - base.P50,
			P99: q.P99 - base.P99,
		},
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perMilli = 1000
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perMilli,
		P99: float64(h.ValueAtQuantile(99)) / perMilli,
	}
}

// String is one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("%d\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%+.3f\t%.3f\t%.3f\t%+.3f\t%+.3f\t", r.Callers, r.Way, r.Count,
		r.First.P50, r.First.P99, r.First.Added.P50, r.First.Added.P99,
		r.End.P50, r.End.P99, r.End.Added.P50, r.End.Added.P99)
}
