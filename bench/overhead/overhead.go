// Package overhead measures the latency that a router adds to a request.
//
// It runs a small fleet in this process, on loopback with real sockets, and
// requests the same streamed completion on three paths: from an engine directly,
// from the router that owns the account's slot, and from a router that forwards
// the request to the owner. Every caller alternates between the paths request by
// request, so that all paths are measured under the same load of the machine.
// The engine is simulated, and its batch is never full.
//
// The added latency is a difference of quantiles, not a quantile of differences,
// as requests are not paired.
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
	// engineBatch is the engine's batch and queue size, in requests. It exceeds any
	// number of callers.
	engineBatch = 1024

	// budgetTokens is the initial budget; it covers any run.
	budgetTokens = 1_000_000_000

	// maxOwnerChecks limits the checks of which router owns the account's slot,
	// ownerCheckInterval apart. Slots move after the start of a fleet, so the owner
	// must be the same in stableOwnerChecks consecutive checks.
	maxOwnerChecks     = 30
	stableOwnerChecks  = 4
	ownerCheckInterval = time.Second

	// Bounds and precision of the histograms, which hold microseconds.
	histLow    = 1
	histHigh   = int64(time.Minute / time.Microsecond)
	histDigits = 3
)

// Path is the path of a request to the engine.
type Path string

// The paths of a request.
const (
	// Direct sends the request to the engine.
	Direct Path = "direct"

	// Owner sends it to the router that owns the account's slot.
	Owner Path = "owner"

	// Forwarded sends it to a router that forwards it to the owner.
	Forwarded Path = "passed_on"
)

// Paths returns all paths, Direct first.
func Paths() []Path {
	return []Path{Direct, Owner, Forwarded}
}

// Config describes a measurement.
type Config struct {
	// Callers lists the numbers of concurrent callers to measure, one after the
	// other.
	Callers []int `json:"callers"`

	// Count is the number of requests per path, for each number of callers.
	Count int `json:"count"`

	// WarmUp is the number of requests that precede the measurement, per path and
	// number of callers.
	WarmUp int `json:"warm_up"`

	// Tokens is the length of an answer in tokens.
	Tokens int `json:"tokens"`

	// TokenTime is the engine's time between tokens.
	TokenTime time.Duration `json:"token_time_ns"`

	// Profile receives a CPU profile of the measured part; nil means none.
	Profile io.Writer `json:"-"`
}

// Quantiles holds the median and the 99th percentile, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Timing holds the quantiles of one latency, and their differences from those of
// Direct.
type Timing struct {
	Quantiles
	Added Quantiles `json:"added"`
}

// Result holds the latencies of one path with one number of callers.
type Result struct {
	Callers int  `json:"callers"`
	Path    Path `json:"way"`
	Count   int  `json:"count"`

	// FirstToken is the time from the call to the first token.
	FirstToken Timing `json:"first_token"`

	// End is the time from the call to the end of the stream.
	End Timing `json:"end"`
}

// Measure starts a fleet and measures it. It returns an error if a request
// fails, an answer is incomplete or wrong, or the slot moves.
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
	owner, err := waitForOwner(fleet)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callers := fleet.CallerAddresses()
	clients := newPathClients(c.Tokens, fleet.EngineAddress().String(), callers[owner], callers[(owner+1)%len(callers)])
	for _, callerCount := range c.Callers {
		if _, err := runRequests(ctx, clients, callerCount, c.WarmUp); err != nil {
			return nil, trace.Wrap(err, "warm-up")
		}
	}
	if c.Profile != nil {
		if err := pprof.StartCPUProfile(c.Profile); err != nil {
			return nil, trace.Wrap(err)
		}
		defer pprof.StopCPUProfile()
	}
	before := fleet.EngineRuns(owner)
	var all []Result
	for _, callerCount := range c.Callers {
		meters, err := runRequests(ctx, clients, callerCount, c.Count)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, results(callerCount, meters)...)
	}
	if ran, want := fleet.EngineRuns(owner)-before, 2*c.Count*len(c.Callers); ran < want {
		return nil, trace.CompareFailed("the owner ran %d of %d requests: the slot moved", ran, want)
	}
	return all, nil
}

// waitForOwner returns the router that owns the account's slot, once ownership is
// stable.
func waitForOwner(fleet *demo.Fleet) (int, error) {
	last, unchanged := -1, 0
	for range maxOwnerChecks {
		owner, err := fleet.OwnerIndex()
		if err != nil || owner != last {
			unchanged = 0
		}
		if unchanged++; err == nil && unchanged == stableOwnerChecks {
			return owner, nil
		}
		last = owner
		time.Sleep(ownerCheckInterval)
	}
	return 0, trace.LimitExceeded("the owner of the account's slot does not become stable")
}

// meter holds the latencies of one path.
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

// runRequests sends count requests per path, divided among the callers. The
// first path rotates from request to request.
func runRequests(ctx context.Context, clients []pathClient, callers, count int) ([]meter, error) {
	meters := make([]meter, len(clients))
	for i := range meters {
		meters[i].first = hdrhistogram.New(histLow, histHigh, histDigits)
		meters[i].end = hdrhistogram.New(histLow, histHigh, histDigits)
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range callers {
		group.Go(func() error {
			for n := i; n < count; n += callers {
				if err := requestEachPath(ctx, clients, n, meters); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return meters, group.Wait()
}

// requestEachPath sends one request on each path.
func requestEachPath(ctx context.Context, clients []pathClient, n int, meters []meter) error {
	for k := range clients {
		i := (n + k) % len(clients)
		first, end, err := clients[i].run(ctx, n)
		if err != nil {
			return trace.Wrap(err, "%s", Paths()[i])
		}
		if err := meters[i].add(first, end); err != nil {
			return err
		}
	}
	return nil
}

func results(callers int, meters []meter) []Result {
	var all []Result
	for i, path := range Paths() {
		all = append(all, Result{
			Callers:    callers,
			Path:       path,
			Count:      int(meters[i].end.TotalCount()),
			FirstToken: timing(meters[i].first, meters[0].first),
			End:        timing(meters[i].end, meters[0].end),
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

// String returns the result as one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("%d\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%+.3f\t%.3f\t%.3f\t%+.3f\t%+.3f\t", r.Callers, r.Path, r.Count,
		r.FirstToken.P50, r.FirstToken.P99, r.FirstToken.Added.P50, r.FirstToken.Added.P99,
		r.End.P50, r.End.P99, r.End.Added.P50, r.End.Added.P99)
}
