package core

import (
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/escrow"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// Dump is the complete state of a node.
type Dump struct {
	// Incarnation is the current incarnation.
	Incarnation string `json:"incarnation"`

	// Now is the time of the dump.
	Now time.Time `json:"now"`

	// Ready reports whether the node accepts requests.
	Ready bool `json:"ready"`

	// Draining is set during a graceful stop.
	Draining bool `json:"draining"`

	// Requests are the requests without a final answer.
	Requests []RequestDump `json:"requests"`

	// LeavingEndpoints are the endpoints drained by operators.
	LeavingEndpoints []waxwingwall.Endpoint `json:"leaving_endpoints"`

	// The states of the components.
	Budgets   escrow.State  `json:"budgets"`
	Claims    claim.Summary `json:"claims"`
	Scheduler sched.Dump    `json:"scheduler"`
	Config    config.Dump   `json:"config"`
	Members   member.Dump   `json:"members"`
}

// RequestDump is the state of one request.
type RequestDump struct {
	// Identity is the request's identity.
	Identity waxwingwall.Identity `json:"identity"`

	// Phase is the request's phase.
	Phase string `json:"phase"`

	// Rank, Model and Budget are as requested; Reserved is what is reserved in
	// the budget.
	Rank     waxwingwall.Rank   `json:"rank"`
	Model    waxwingwall.Model  `json:"model"`
	Budget   waxwingwall.Budget `json:"budget"`
	Reserved waxwingwall.Tokens `json:"reserved"`

	// Endpoint and Attempt describe the last dispatch.
	Endpoint waxwingwall.Endpoint `json:"endpoint"`
	Attempt  int                  `json:"attempt"`

	// Output is the number of output tokens so far.
	Output waxwingwall.Tokens `json:"output"`
}

// String returns the phase's name in dumps.
func (p phase) String() string {
	return [...]string{"reserving", "queued", "recording", "running", "settling"}[p]
}

// Dump returns the complete state of the node.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{
		Incarnation:      n.Self.String(),
		Now:              now,
		Ready:            n.Ready(),
		Draining:         n.draining,
		Requests:         []RequestDump{},
		LeavingEndpoints: append([]waxwingwall.Endpoint{}, n.leaving.endpoints...),
		Budgets:          n.Book.Dump(),
		Claims:           n.Ledger.Dump(),
		Scheduler:        n.Scheduler.Dump(),
		Config:           n.Watcher.Dump(),
		Members:          n.View.Dump(),
	}
	for _, id := range n.identities() {
		q := n.requests[id]
		d.Requests = append(d.Requests, RequestDump{
			Identity: id,
			Phase:    q.phase.String(),
			Rank:     q.Rank,
			Model:    q.Model,
			Budget:   q.Budget,
			Reserved: q.reserved,
			Endpoint: q.next.Endpoint,
			Attempt:  q.next.Attempt,
			Output:   q.output,
		})
	}
	return d
}
