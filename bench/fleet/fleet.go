// Package fleet measures what only whole routers show: overspend and false
// refusals of prepaid budgets under failure, and what a fleet asks of the
// platform's table and of the network.
//
// A run drives the decision logic of all routers in modelled time (package
// fake). Callers buy from budgets until these are nearly used up; a refusal is
// false if the budget could have paid for the request at that moment.
package fleet

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/fake"
)

// Scenario names a kind of failure.
type Scenario string

// The scenarios.
const (
	// Healthy has no faults.
	Healthy Scenario = "healthy"

	// Kills kills a router every 30 s and boots it again 10 s later.
	Kills Scenario = "kills"

	// Partition cuts half of the routers off from the other half for 10
	// minutes, with top-ups.
	Partition Scenario = "partition"

	// Outage takes the table away for 10 minutes.
	Outage Scenario = "outage"
)

// Scenarios returns all.
func Scenarios() []Scenario {
	return []Scenario{Healthy, Kills, Partition, Outage}
}

// Config describes a run.
type Config struct {
	// Scenario is the failure.
	Scenario Scenario

	// Routers is the number of VMs, in three failure domains.
	Routers int

	// Budgets is the number of prepaid budgets, each of its own account.
	Budgets int

	// Rate is in requests a second, over all callers.
	Rate float64

	// Length is the modelled time under load.
	Length time.Duration

	// Cover is how much of what the callers want the budgets can pay; below 1
	// they are used up before the end.
	Cover float64

	// Spread is the number of slots of each account.
	Spread int

	// Seed makes the run repeatable.
	Seed uint64
}

// Result is what a run showed.
type Result struct {
	// Scenario, Routers, Budgets and Seed repeat the configuration.
	Scenario Scenario `json:"scenario"`
	Routers  int      `json:"routers"`
	Budgets  int      `json:"budgets"`
	Seed     uint64   `json:"seed"`

	// Offered counts requests, Served those that were answered.
	Offered int `json:"offered"`
	Served  int `json:"served"`

	// Refused counts refusals for the budget's sake, FalseRefusals those
	// although the budget could pay, which is their share of what was offered
	// while it could.
	Refused       int     `json:"refused"`
	FalseRefusals int     `json:"false_refusals"`
	FalseShare    float64 `json:"false_refusal_share"`

	// OtherRefusals counts requests given up on for other reasons; Reasons
	// has them by code.
	OtherRefusals int            `json:"other_refusals"`
	Reasons       map[string]int `json:"reasons"`

	// OverspendTokens is what was billed above what was paid.
	OverspendTokens waxwingwall.Tokens `json:"overspend_tokens"`

	// LeftTokens is what the budgets hold after all routers have drained.
	LeftTokens waxwingwall.Tokens `json:"left_tokens"`

	// Unbilled and DoubleBilled count identities.
	Unbilled     int `json:"unbilled"`
	DoubleBilled int `json:"double_billed"`

	// RunMoreThanOnce counts non-idempotent identities.
	RunMoreThanOnce int `json:"run_more_than_once"`

	// Writes and Reads are rows of the table a second, Messages and Bytes are
	// sent by one router a second, under load.
	Writes   float64 `json:"table_writes_per_second"`
	Reads    float64 `json:"table_reads_per_second"`
	Messages float64 `json:"messages_per_second_per_router"`
	Bytes    float64 `json:"bytes_per_second_per_router"`

	// Broken lists promises that were seen broken.
	Broken []string `json:"broken"`
}

// warmUp is the time before load begins, settleIn that before faults begin.
const (
	warmUp   = 10 * time.Second
	settleIn = 30 * time.Second
)

const (
	// output is the most output that a request asks for.
	output = 40

	// engines is the number of endpoints.
	engines = 10
)

// Run makes one measurement.
func Run(c Config) (Result, error) {
	if c.Routers < 1 || c.Budgets < 1 || c.Rate <= 0 {
		return Result{}, trace.BadParameter("routers, budgets and rate must be positive")
	}
	r := &run{
		Config: c,
		result: Result{
			Scenario: c.Scenario,
			Routers:  c.Routers,
			Budgets:  c.Budgets,
			Seed:     c.Seed,
			Reasons:  make(map[string]int),
			Broken:   []string{},
		},
		paid: make(map[waxwingwall.Budget]waxwingwall.Tokens),
		used: make(map[waxwingwall.Budget]waxwingwall.Tokens),
	}
	r.world = fake.New(c.Routers, c.Seed, r.broken)
	r.prepare()
	r.load()
	r.finish()
	return r.result, nil
}

// run is a measurement under way.
type run struct {
	Config
	world    *fake.World
	document *config.Document
	result   Result
	clients  []*fake.Client

	// paid and used are by budget; used holds the worst cases of requests that
	// run and the prices of those that have ended.
	paid, used map[waxwingwall.Budget]waxwingwall.Tokens
}

func (r *run) broken(format string, args ...any) {
	r.result.Broken = append(r.result.Broken, fmt.Sprintf(format, args...))
}

func (r *run) prepare() {
	r.document = r.world.Configure(fake.Document(r.Budgets, r.Spread, engines))
	wanted := waxwingwall.Tokens(r.Rate * (settleIn + r.Length).Seconds() * meanPrice * r.Cover / float64(r.Budgets))
	for i := range r.Budgets {
		r.pay(i, "first", max(wanted, 2*output))
	}
	for _, h := range r.world.Hosts {
		r.world.Boot(h)
	}
	r.world.Run(warmUp)
}

// meanPrice is about what one request costs.
const meanPrice = 18

func (r *run) pay(i int, id string, amount waxwingwall.Tokens) {
	b := fake.Budget(i)
	r.world.TopUp(b, id, amount)
	r.paid[b] += amount
}

// load lets callers buy, with the scenario's faults. The first part is without
// faults and not judged.
func (r *run) load() {
	gap := time.Duration(float64(time.Second) / r.Rate)
	for i := range int((settleIn + r.Length) / gap) {
		at := time.Duration(i) * gap
		r.world.After(at, func() { r.ask(i, at >= settleIn) })
	}
	r.world.Run(settleIn)
	r.faults()
	before := r.world.Counts
	r.world.Run(r.Length)
	seconds := r.Length.Seconds()
	routers := float64(r.Routers)
	r.result.Writes = float64(r.world.Counts.Writes-before.Writes) / seconds
	r.result.Reads = float64(r.world.Counts.Reads-before.Reads) / seconds
	r.result.Messages = float64(r.world.Counts.Messages-before.Messages) / seconds / routers
	r.result.Bytes = float64(r.world.Counts.Bytes-before.Bytes) / seconds / routers
}

func (r *run) faults() {
	w := r.world
	switch r.Scenario {
	case Kills:
		for i := range int(r.Length / killEvery) {
			h := w.Hosts[i%len(w.Hosts)]
			w.After(time.Duration(i)*killEvery+killEvery/2, func() { h.Dead = true })
			w.After(time.Duration(i)*killEvery+killEvery/2+killedFor, func() { w.Boot(h) })
		}
	case Partition:
		w.After(0, func() { r.cut(true) })
		w.After(r.Length, func() { r.cut(false) })
		for i := range r.Budgets {
			w.After(r.Length/2, func() { r.pay(i, "second", r.paid[fake.Budget(i)]/2) })
		}
	case Outage:
		w.After(0, func() { w.Outage = true })
		w.After(r.Length, func() { w.Outage = false })
	}
}

// Times of the scenario Kills.
const (
	killEvery = 30 * time.Second
	killedFor = 10 * time.Second
)

// cut cuts the first half of the routers off from the second, or heals that.
func (r *run) cut(on bool) {
	half := len(r.world.Hosts) / 2
	for _, a := range r.world.Hosts[:half] {
		for _, b := range r.world.Hosts[half:] {
			r.world.Partitioned[[2]waxwingwall.VM{a.VM, b.VM}] = on
			r.world.Partitioned[[2]waxwingwall.VM{b.VM, a.VM}] = on
		}
	}
}

// ask makes the i-th request.
func (r *run) ask(i int, judged bool) {
	who := r.world.Random.IntN(r.Budgets)
	request, p := core.Check(r.document, fake.Account(who), waxwingwall.CallerRequest{
		Key:       r.key(i),
		Model:     "m",
		MaxOutput: output,
		Messages: []waxwingwall.Message{
			{
				Role:    "user",
				Content: fmt.Sprint("question ", i),
			},
		},
	})
	if p != nil {
		r.broken("check: %v", p)
		return
	}
	c := &fake.Client{
		Request:  request,
		MaxTries: 1,
	}
	r.clients = append(r.clients, c)
	b := fake.Budget(who)
	affordable := r.paid[b]-r.used[b] >= request.WorstCase()
	r.used[b] += request.WorstCase()
	r.world.Submit(c)
	r.world.After(answerTime, func() { r.judge(c, b, affordable, judged) })
}

// key is for the i-th request: every fourth caller brings its own.
func (r *run) key(i int) string {
	if i%4 != 0 {
		return ""
	}
	return fmt.Sprintf("key-%d", i)
}

// answerTime is after how long a request is judged.
const answerTime = 5 * time.Second

// judge counts a request once it has its answer.
func (r *run) judge(c *fake.Client, b waxwingwall.Budget, affordable, judged bool) {
	r.used[b] += r.price(c) - c.Request.WorstCase()
	if !judged {
		return
	}
	r.result.Offered++
	if c.Ran {
		r.result.Served++
		return
	}
	code := "no_answer"
	if len(c.Codes) > 0 {
		code = c.Codes[len(c.Codes)-1]
	}
	r.result.Reasons[code]++
	if code != "budget_exhausted" && code != "budget_out_of_reach" {
		r.result.OtherRefusals++
		return
	}
	r.result.Refused++
	if affordable {
		r.result.FalseRefusals++
	}
}

// price is what an answered request cost.
func (r *run) price(c *fake.Client) waxwingwall.Tokens {
	for _, e := range r.world.Answers[c.Request.Identity] {
		if e.Problem == nil {
			return e.Prompt + e.Output
		}
	}
	return 0
}

// finish compares the bills with what was paid and run.
func (r *run) finish() {
	r.world.Settle()
	if able := r.result.Offered - r.result.Refused + r.result.FalseRefusals; able > 0 {
		r.result.FalseShare = float64(r.result.FalseRefusals) / float64(able)
	}
	bills, err := claim.ReadBills(r.world.List(claim.AllBillsPrefix))
	if err != nil {
		r.broken("bills: %v", err)
	}
	spent := make(map[waxwingwall.Budget]waxwingwall.Tokens)
	count := make(map[waxwingwall.Identity]int)
	for _, b := range bills {
		spent[b.Budget] += b.Tokens
		count[b.Identity]++
	}
	for i := range r.Budgets {
		b := fake.Budget(i)
		r.result.OverspendTokens += max(0, spent[b]-r.paid[b])
		r.result.LeftTokens += max(0, r.paid[b]-spent[b])
	}
	for _, c := range r.clients {
		id := c.Request.Identity
		if c.Ran && count[id] == 0 {
			r.result.Unbilled++
		}
		if count[id] > 1 {
			r.result.DoubleBilled++
		}
		if !c.Request.Idempotent && r.world.Runs[id] > 1 {
			r.result.RunMoreThanOnce++
		}
	}
}
