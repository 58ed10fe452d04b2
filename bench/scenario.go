package bench

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/sched"
)

// Concurrency of the simulated endpoints, in requests.
const (
	modelSlots   = 16
	serviceSlots = 8
)

// Site describes a deployment.
type Site struct {
	// Name selects the deployment in Config.Site.
	Name string

	// Domains, Models, Services and Routers are the numbers of failure domains,
	// model replicas, plain service replicas and router VMs.
	Domains  int
	Models   int
	Services int
	Routers  int

	// Accounts is the number of client accounts; the first Large of them are
	// large.
	Accounts int
	Large    int

	// PeerLatency, ClientLatency and HopLatency are one-way latencies: between
	// routers, from a caller to a router, and from a router to an endpoint.
	PeerLatency   time.Duration
	ClientLatency time.Duration
	HopLatency    time.Duration
}

// Sites returns all deployments that Config.Site can select.
func Sites() []Site {
	return []Site{
		{
			Name:          "coulee",
			Domains:       4,
			Models:        10,
			Services:      4,
			Routers:       8,
			Accounts:      10,
			Large:         3,
			PeerLatency:   time.Millisecond,
			ClientLatency: 3 * time.Millisecond,
			HopLatency:    time.Millisecond,
		},
		{
			Name:          "heredia",
			Domains:       3,
			Models:        10,
			Services:      3,
			Routers:       7,
			Accounts:      10,
			Large:         2,
			PeerLatency:   1200 * time.Microsecond,
			ClientLatency: time.Millisecond,
			HopLatency:    1200 * time.Microsecond,
		},
	}
}

func accountName(i int) waxwingwall.Account {
	return waxwingwall.Account(fmt.Sprintf("account-%02d", i))
}

func (s Site) accountSpecs() []sched.AccountSpec {
	var specs []sched.AccountSpec
	for i := range s.Accounts {
		specs = append(specs, sched.AccountSpec{
			Name:   accountName(i),
			Weight: 1,
		})
	}
	return specs
}

// Ranks of the simulated requests, most urgent first.
const (
	urgent waxwingwall.Rank = iota
	routine
	long
	rankCount
)

// Ranks returns the ranks of the simulated requests.
func Ranks() []sched.RankSpec {
	return []sched.RankSpec{
		{
			Name:          "urgent",
			Level:         urgent,
			FirstToken:    420 * time.Millisecond,
			BetweenTokens: 65 * time.Millisecond,
			Floor:         0.25,
			Worth:         100,
		},
		{
			Name:          "routine",
			Level:         routine,
			FirstToken:    1500 * time.Millisecond,
			BetweenTokens: 80 * time.Millisecond,
			Floor:         0.15,
			Worth:         10,
		},
		{
			Name:          "long",
			Level:         long,
			FirstToken:    8 * time.Second,
			BetweenTokens: 150 * time.Millisecond,
			Floor:         0.10,
			Worth:         1,
		},
	}
}

// requestShape is the size of the requests of one rank: the mean output in
// tokens, the blocks of the shared prefix, and the tokens of the prompt that are
// specific to the request. A caller leaves if it has no token by the timeout.
type requestShape struct {
	meanOutput   int
	prefixBlocks int
	ownTokens    int
	timeout      time.Duration
}

// requestShapes is indexed by rank.
var requestShapes = [rankCount]requestShape{
	{
		meanOutput:   60,
		prefixBlocks: 8,
		ownTokens:    60,
		timeout:      5 * time.Second,
	},
	{
		meanOutput:   100,
		prefixBlocks: 10,
		ownTokens:    100,
		timeout:      10 * time.Second,
	},
	{
		meanOutput:   300,
		prefixBlocks: 16,
		ownTokens:    600,
		timeout:      20 * time.Second,
	},
}

// meanEngineTime returns the engine time of a mean request of the rank, in
// seconds, with three quarters of the shared prefix cached.
func meanEngineTime(r waxwingwall.Rank) float64 {
	shape := requestShapes[r]
	step := (stepBase + modelSlots*stepPerRequest).Seconds() / modelSlots
	uncached := float64(shape.ownTokens) + float64(shape.prefixBlocks*blockTokens)/4
	return float64(shape.meanOutput)*step + uncached*prefillPerToken.Seconds()
}

// Scenario describes load and faults to measure.
type Scenario struct {
	// Name selects the scenario in Config.Scenario.
	Name string

	// Load is the demand of each rank as a fraction of the model capacity.
	Load [rankCount]float64

	// Flood, if not zero, replaces the Load of FloodRank from half of the warm-up
	// on.
	Flood     float64
	FloodRank waxwingwall.Rank

	// LargeFactor is the demand of a large account relative to a small one.
	LargeFactor float64

	// WarmUp precedes the measurement, which lasts for Window.
	WarmUp time.Duration
	Window time.Duration

	// Faults schedules the faults; nil means none.
	Faults func(*world)
}

// Scenarios returns all scenarios that Config.Scenario can select.
func Scenarios() []Scenario {
	base := Scenario{
		Load:        [rankCount]float64{0.25, 0.20, 0.25},
		LargeFactor: 3,
		WarmUp:      15 * time.Second,
		Window:      40 * time.Second,
	}
	variant := func(name string, modify func(*Scenario)) Scenario {
		scenario := base
		scenario.Name = name
		modify(&scenario)
		return scenario
	}
	return []Scenario{
		variant("steady", func(*Scenario) {}),
		variant("capacity", func(scenario *Scenario) {
			scenario.Load = [rankCount]float64{0.35, 0.30, 0.35}
		}),
		variant("flood_least_urgent", func(scenario *Scenario) {
			scenario.Flood = 5
			scenario.FloodRank = long
		}),
		variant("flood_most_urgent", func(scenario *Scenario) {
			scenario.Flood = 5
			scenario.FloodRank = urgent
		}),
		variant("large_callers", func(scenario *Scenario) {
			scenario.LargeFactor = 10
			scenario.Load = [rankCount]float64{0.4, 0.4, 0.5}
		}),
		variant("router_kills", func(scenario *Scenario) {
			scenario.Faults = killRouters
		}),
		variant("poison_request", func(scenario *Scenario) {
			scenario.Faults = sendPoison
		}),
		variant("silent_connections", func(scenario *Scenario) {
			scenario.Faults = silenceConnections
		}),
		variant("endpoint_drain", func(scenario *Scenario) {
			scenario.Faults = drainEndpoints
		}),
		variant("slow_endpoint", func(scenario *Scenario) {
			scenario.Faults = slowEndpoints
		}),
		variant("router_partition", func(scenario *Scenario) {
			scenario.Faults = partitionRouters
		}),
		variant("flood_partition", func(scenario *Scenario) {
			scenario.Flood = 5
			scenario.FloodRank = long
			scenario.Faults = partitionRouters
		}),
		variant("flood_kills", func(scenario *Scenario) {
			scenario.Flood = 5
			scenario.FloodRank = long
			scenario.Faults = killRouters
		}),
		variant("order_rush", func(scenario *Scenario) {
			scenario.Faults = offerOrderRush
		}),
		variant("stale_load", func(scenario *Scenario) {
			scenario.Faults = delayLoadReports
		}),
	}
}
