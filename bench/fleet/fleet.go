// Package fleet measures properties that need complete routers: overspend and
// false refusals of prepaid budgets under failure, and the load on the
// platform's table and on the network.
//
// A run drives the decision logic of all routers in simulated time (package
// fake). Callers spend from budgets until these are nearly exhausted; a refusal
// is false if the budget covered the worst case when the request was sent.
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

// Scenario selects the faults of a run.
type Scenario string

// Scenarios of a run.
const (
	// Healthy has no faults.
	Healthy Scenario = "healthy"

	// Kills kills a router every 30 s and boots it again 10 s later.
	Kills Scenario = "kills"

	// Partition separates half of the routers from the other half for the length
	// of the run, with top-ups after half of it.
	Partition Scenario = "partition"

	// Outage makes the table unavailable for the length of the run.
	Outage Scenario = "outage"
)

// Scenarios returns all scenarios, Healthy first.
func Scenarios() []Scenario {
	return []Scenario{Healthy, Kills, Partition, Outage}
}

// Config describes a run.
type Config struct {
	// Scenario selects the faults.
	Scenario Scenario

	// Routers is the number of VMs, in three failure domains.
	Routers int

	// Budgets is the number of prepaid budgets, one per account.
	Budgets int

	// Rate is in requests per second, summed over all callers.
	Rate float64

	// Length is the simulated time under load with faults.
	Length time.Duration

	// FundedShare is the fraction of the callers' demand that the budgets cover.
	// Below 1 they are exhausted before the end.
	FundedShare float64

	// Spread is the number of slots of each account.
	Spread int

	// Seed initializes the random number generator; equal seeds give equal runs.
	Seed uint64
}

// Result holds the measurements of a run.
type Result struct {
	// Scenario, Routers, Budgets and Seed repeat the configuration.
	Scenario Scenario `json:"scenario"`
	Routers  int      `json:"routers"`
	Budgets  int      `json:"budgets"`
	Seed     uint64   `json:"seed"`

	// Offered counts the requests sent during Length, Served those of them whose
	// caller received a complete answer.
	Offered int `json:"offered"`
	Served  int `json:"served"`

	// Refused counts refusals for lack of budget, FalseRefusals those of requests
	// that the budget covered. FalseRefusalShare is the ratio of FalseRefusals to
	// the offered requests without justified refusals.
	Refused           int     `json:"refused"`
	FalseRefusals     int     `json:"false_refusals"`
	FalseRefusalShare float64 `json:"false_refusal_share"`

	// OtherRefusals counts requests not served for other reasons; Reasons counts
	// all requests not served, per error code.
	OtherRefusals int            `json:"other_refusals"`
	Reasons       map[string]int `json:"reasons"`

	// OverspendTokens is the sum of what was billed to budgets beyond payment.
	OverspendTokens waxwingwall.Tokens `json:"overspend_tokens"`

	// RemainingTokens is the sum of what was paid into budgets and not billed,
	// after all routers have drained.
	RemainingTokens waxwingwall.Tokens `json:"left_tokens"`

	// Unbilled counts requests that ran and have no bill, DoubleBilled those with
	// several bills.
	Unbilled     int `json:"unbilled"`
	DoubleBilled int `json:"double_billed"`

	// RunMoreThanOnce counts non-idempotent requests that ran several times.
	RunMoreThanOnce int `json:"run_more_than_once"`

	// Writes and Reads are the table rows written and read per second by the whole
	// fleet. Messages and Bytes are sent per second and router. All are means over
	// Length.
	Writes   float64 `json:"table_writes_per_second"`
	Reads    float64 `json:"table_reads_per_second"`
	Messages float64 `json:"messages_per_second_per_router"`
	Bytes    float64 `json:"bytes_per_second_per_router"`

	// Violations lists the violated guarantees.
	Violations []string `json:"broken"`
}

// warmUp is the time before the load, settleTime the time under load before the
// faults.
const (
	warmUp     = 10 * time.Second
	settleTime = 30 * time.Second
)

const (
	// maxOutput is the output limit of a request, in tokens.
	maxOutput = 40

	// endpointCount is the number of model endpoints.
	endpointCount = 10
)

// Run makes one measurement. It fails only if c is invalid; violated guarantees
// are listed in the Result.
func Run(c Config) (Result, error) {
	if c.Routers < 1 || c.Budgets < 1 || c.Rate <= 0 {
		return Result{}, trace.BadParameter("routers, budgets and rate must be positive")
	}
	r := &run{
		Config: c,
		result: Result{
			Scenario:   c.Scenario,
			Routers:    c.Routers,
			Budgets:    c.Budgets,
			Seed:       c.Seed,
			Reasons:    make(map[string]int),
			Violations: []string{},
		},
		paid:      make(map[waxwingwall.Budget]waxwingwall.Tokens),
		committed: make(map[waxwingwall.Budget]waxwingwall.Tokens),
	}
	r.world = fake.New(c.Routers, c.Seed, r.addViolation)
	r.prepare()
	r.runLoad()
	r.finish()
	return r.result, nil
}

// run is the state of a measurement.
type run struct {
	Config
	world    *fake.World
	document *config.Document
	result   Result
	clients  []*fake.Client

	// paid and committed are per budget. committed is the sum of the worst cases
	// of requests in flight and the prices of finished ones.
	paid, committed map[waxwingwall.Budget]waxwingwall.Tokens
}

func (r *run) addViolation(format string, args ...any) {
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *run) prepare() {
	r.document = r.world.Configure(fake.Document(r.Budgets, r.Spread, endpointCount))
	wanted := waxwingwall.Tokens(r.Rate * (settleTime + r.Length).Seconds() * meanPrice * r.FundedShare / float64(r.Budgets))
	for i := range r.Budgets {
		r.topUp(i, "first", max(wanted, 2*maxOutput))
	}
	for _, h := range r.world.Hosts {
		r.world.Boot(h)
	}
	r.world.Run(warmUp)
}

// meanPrice approximates the mean price of a request, in tokens: the price of its
// prompt plus the output of a fake endpoint, which is 3 to 22 tokens.
const meanPrice = 18

func (r *run) topUp(i int, id string, amount waxwingwall.Tokens) {
	b := fake.Budget(i)
	r.world.TopUp(b, id, amount)
	r.paid[b] += amount
}

// runLoad sends requests for settleTime without faults and without measurement,
// then for Length with the scenario's faults.
func (r *run) runLoad() {
	gap := time.Duration(float64(time.Second) / r.Rate)
	for i := range int((settleTime + r.Length) / gap) {
		at := time.Duration(i) * gap
		r.world.After(at, func() { r.sendRequest(i, at >= settleTime) })
	}
	r.world.Run(settleTime)
	r.scheduleFaults()
	before := r.world.Counts
	r.world.Run(r.Length)
	seconds := r.Length.Seconds()
	routers := float64(r.Routers)
	r.result.Writes = float64(r.world.Counts.Writes-before.Writes) / seconds
	r.result.Reads = float64(r.world.Counts.Reads-before.Reads) / seconds
	r.result.Messages = float64(r.world.Counts.Messages-before.Messages) / seconds / routers
	r.result.Bytes = float64(r.world.Counts.Bytes-before.Bytes) / seconds / routers
}

func (r *run) scheduleFaults() {
	w := r.world
	switch r.Scenario {
	case Kills:
		for i := range int(r.Length / killInterval) {
			h := w.Hosts[i%len(w.Hosts)]
			w.After(time.Duration(i)*killInterval+killInterval/2, func() { h.Dead = true })
			w.After(time.Duration(i)*killInterval+killInterval/2+restartDelay, func() { w.Boot(h) })
		}
	case Partition:
		w.After(0, func() { r.setPartition(true) })
		w.After(r.Length, func() { r.setPartition(false) })
		for i := range r.Budgets {
			w.After(r.Length/2, func() { r.topUp(i, "second", r.paid[fake.Budget(i)]/2) })
		}
	case Outage:
		w.After(0, func() { w.Outage = true })
		w.After(r.Length, func() { w.Outage = false })
	}
}

// In the scenario Kills, a router is killed every killInterval and boots again
// after restartDelay.
const (
	killInterval = 30 * time.Second
	restartDelay = 10 * time.Second
)

// setPartition separates the first half of the routers from the second, or ends
// the separation.
func (r *run) setPartition(separated bool) {
	half := len(r.world.Hosts) / 2
	for _, a := range r.world.Hosts[:half] {
		for _, b := range r.world.Hosts[half:] {
			r.world.Partitioned[[2]waxwingwall.VM{a.VM, b.VM}] = separated
			r.world.Partitioned[[2]waxwingwall.VM{b.VM, a.VM}] = separated
		}
	}
}

// sendRequest sends the i-th request.
func (r *run) sendRequest(i int, measured bool) {
	account := r.world.Random.IntN(r.Budgets)
	request, p := core.Check(r.document, fake.Account(account), waxwingwall.CallerRequest{
		Key:       r.idempotencyKey(i),
		Model:     "m",
		MaxOutput: maxOutput,
		Messages: []waxwingwall.Message{
			{
				Role:    "user",
				Content: fmt.Sprint("question ", i),
			},
		},
	})
	if p != nil {
		r.addViolation("check: %v", p)
		return
	}
	c := &fake.Client{
		Request:  request,
		MaxTries: 1,
	}
	r.clients = append(r.clients, c)
	b := fake.Budget(account)
	affordable := r.paid[b]-r.committed[b] >= request.WorstCase()
	r.committed[b] += request.WorstCase()
	r.world.Submit(c)
	r.world.After(answerTimeout, func() { r.recordAnswer(c, b, affordable, measured) })
}

// idempotencyKey returns the key of the i-th request; every fourth request has
// one.
func (r *run) idempotencyKey(i int) string {
	if i%4 != 0 {
		return ""
	}
	return fmt.Sprintf("key-%d", i)
}

// answerTimeout is the time after which a request is evaluated.
const answerTimeout = 5 * time.Second

// recordAnswer evaluates a request after answerTimeout.
func (r *run) recordAnswer(c *fake.Client, b waxwingwall.Budget, affordable, measured bool) {
	r.committed[b] += r.price(c) - c.Request.WorstCase()
	if !measured {
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

// price returns the price of an answered request, and zero for others.
func (r *run) price(c *fake.Client) waxwingwall.Tokens {
	for _, e := range r.world.Answers[c.Request.Identity] {
		if e.Problem == nil {
			return e.Prompt + e.Output
		}
	}
	return 0
}

// finish compares the bills with the payments and the runs.
func (r *run) finish() {
	r.world.Settle()
	if affordable := r.result.Offered - r.result.Refused + r.result.FalseRefusals; affordable > 0 {
		r.result.FalseRefusalShare = float64(r.result.FalseRefusals) / float64(affordable)
	}
	bills, err := claim.ReadBills(r.world.List(claim.AllBillsPrefix))
	if err != nil {
		r.addViolation("bills: %v", err)
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
		r.result.RemainingTokens += max(0, r.paid[b]-spent[b])
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
