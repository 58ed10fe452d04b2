// Package fake runs the decision logic of complete routers in simulated time, with
// a fake table, a fake network and fake endpoints, in a single goroutine.
//
// Faults are fields of a World: an outage of the table, lost answers, lost
// messages, network partitions, dead or paused routers, crashing endpoints. The
// package is meant for property tests and experiments; runs with the same seed are
// identical.
package fake

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
	"waxwingwall/core/member"
	"waxwingwall/core/sched"
)

// World is the state of a simulation. A test injects faults by setting fields.
type World struct {
	// Now is the simulated time, TickInterval the time between two ticks of a
	// router.
	Now          time.Time
	TickInterval time.Duration

	// Random is the source of all random choices; Fail reports violated invariants.
	Random *rand.Rand
	Fail   func(format string, args ...any)

	// Rows is the table. During an Outage every operation is lost without taking
	// effect; AnswerLoss is the probability that an operation takes effect and its
	// answer is lost.
	Rows       map[string]waxwingwall.Row
	Outage     bool
	AnswerLoss float64

	// MessageLoss is the probability that a message is lost, and also that a
	// delivered message is duplicated. MessageDelay is the usual time that one takes;
	// zero selects a few milliseconds. Partitioned holds the pairs of sender and
	// receiver between which all messages are lost.
	MessageLoss  float64
	MessageDelay time.Duration
	Partitioned  map[[2]waxwingwall.VM]bool

	// KillOnAnswer kills the next router that gives a complete answer, KillOnStart
	// the next router that starts an attempt. Both are cleared by the kill.
	KillOnAnswer, KillOnStart bool

	// Hosts are the VMs. CrashProbability is the probability that an attempt crashes
	// its endpoint, BreakProbability that its connection is lost, DeclineProbability
	// that its endpoint declines it. Silent endpoints send nothing for now.
	Hosts              []*Host
	CrashProbability   float64
	BreakProbability   float64
	DeclineProbability float64
	Silent             map[waxwingwall.Endpoint]bool

	// Runs counts the attempts on endpoints; Answers holds all final answers. Accepted
	// counts the requests that an owner accepted, without the Returned ones that it gave
	// back to the gateway. Cancelled counts the attempts that routers cancelled.
	Runs      map[waxwingwall.Identity]int
	Answers   map[waxwingwall.Identity][]waxwingwall.End
	Accepted  map[waxwingwall.Identity]int
	Cancelled map[waxwingwall.Identity]int
	Returned  int

	// Counts counts the operations of all routers.
	Counts Counts

	// codec encodes the messages between routers. clients holds the clients whose
	// requests an owner has accepted.
	codec   *codec
	clients map[waxwingwall.Identity]*Client

	// tasks holds the scheduled tasks, taskSeq counts all tasks scheduled so far;
	// version is the last version assigned in the table.
	tasks   taskQueue
	taskSeq int
	version int64
}

// Counts counts the operations of a fleet on the platform and the network.
type Counts struct {
	// Writes and Reads count the rows written and read; a list counts as one read.
	Writes, Reads int

	// Messages counts messages between routers; Bytes is their total encoded size.
	Messages, Bytes int
}

// Host is one VM with its router.
type Host struct {
	// VM is the name of the VM. Options hold the addresses and other settings of its
	// router, the same for every incarnation.
	VM      waxwingwall.VM
	Options core.Options

	// Node is the current incarnation of the router; Generation counts its
	// incarnations.
	Node       *core.Node
	Generation int

	// Dead is set while the router is down, Paused while its process is
	// paused and calls to it are deferred.
	Dead, Paused bool

	// deferred are the calls to make when a paused process resumes; active holds the
	// running attempt of each request, versions the version that produced its output.
	deferred []func()
	active   map[waxwingwall.Identity]int
	versions map[waxwingwall.Identity]string
}

// taskQueue is a heap of tasks, ordered by time and then by order of scheduling.
type taskQueue []task

type task struct {
	at  time.Time
	seq int
	do  func()
}

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a World with VMs whose routers are not booted yet. Violated
// invariants are reported to fail.
func New(routers int, seed uint64, fail func(string, ...any)) *World {
	w := &World{
		codec:        newCodec(),
		clients:      make(map[waxwingwall.Identity]*Client),
		Now:          time.UnixMilli(1_800_000_000_000),
		TickInterval: 50 * time.Millisecond,
		Random:       rand.New(rand.NewPCG(seed, 1)),
		Fail:         fail,
		Rows:         make(map[string]waxwingwall.Row),
		Partitioned:  make(map[[2]waxwingwall.VM]bool),
		Runs:         make(map[waxwingwall.Identity]int),
		Answers:      make(map[waxwingwall.Identity][]waxwingwall.End),
		Accepted:     make(map[waxwingwall.Identity]int),
		Cancelled:    make(map[waxwingwall.Identity]int),
		Silent:       make(map[waxwingwall.Endpoint]bool),
	}
	for i := range routers {
		h := &Host{
			VM: waxwingwall.VM(fmt.Sprintf("vm%d", i)),
			Options: core.Options{
				Peers:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
				Callers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 2),
				Domain:  waxwingwall.Domain(fmt.Sprintf("domain%d", i%3)),
			},
		}
		w.Hosts = append(w.Hosts, h)
	}
	return w
}

// After schedules a call of do after a delay.
func (w *World) After(d time.Duration, do func()) {
	w.taskSeq++
	heap.Push(&w.tasks, task{
		at:  w.Now.Add(d),
		seq: w.taskSeq,
		do:  do,
	})
}

// Run advances the simulated time by d and runs the tasks that become due.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.tasks) > 0 && !w.tasks[0].at.After(end) {
		t := heap.Pop(&w.tasks).(task)
		w.Now = t.at
		t.do()
	}
	w.Now = end
}

// Boot starts a new incarnation of a router without any state of the previous one.
func (w *World) Boot(h *Host) {
	self := waxwingwall.Incarnation{
		VM:   h.VM,
		Boot: w.Now.UnixMilli(),
	}
	w.startNode(h, core.New(self, h.Options, config.Production, w.Random.Uint64()))
}

// startSuccessor replaces the node of a process whose incarnation was closed by
// another router.
func (w *World) startSuccessor(h *Host) {
	next, actions := h.Node.Successor(w.Now, max(w.Now.UnixMilli(), h.Node.Self.Boot+1), w.Random.Uint64())
	w.startNode(h, next)
	for _, a := range actions {
		w.perform(h, h.Generation, a)
	}
}

// startNode makes n the current incarnation of the router of a VM.
func (w *World) startNode(h *Host, n *core.Node) {
	h.Generation++
	h.Dead = false
	h.Paused = false
	h.deferred = nil
	h.active = make(map[waxwingwall.Identity]int)
	h.versions = make(map[waxwingwall.Identity]string)
	h.Node = n
	w.tick(h, h.Generation)
	w.listMembers(h, h.Generation)
}

// tick delivers ticks to a router until its incarnation ends.
func (w *World) tick(h *Host, generation int) {
	if h.Generation != generation || h.Dead {
		return
	}
	w.step(h, generation, effect.Tick{})
	w.After(w.TickInterval, func() { w.tick(h, generation) })
}

// listMembers delivers the platform's member list to a router every second.
func (w *World) listMembers(h *Host, generation int) {
	if h.Generation != generation || h.Dead {
		return
	}
	var members []waxwingwall.Member
	for _, o := range w.Hosts {
		members = append(members, waxwingwall.Member{
			VM:      o.VM,
			Address: o.Options.Peers,
			Domain:  o.Options.Domain,
		})
	}
	w.step(h, generation, member.Listed{
		Members: members,
	})
	w.After(time.Second, func() { w.listMembers(h, generation) })
}

// Deliver delivers an event to a router, as package router would.
func (w *World) Deliver(h *Host, ev effect.Event) {
	w.step(h, h.Generation, ev)
}

// step delivers an event to a router, immediately or when it resumes.
func (w *World) step(h *Host, generation int, ev effect.Event) {
	w.call(h, generation, func() []effect.Action {
		return h.Node.Step(w.Now, ev)
	})
}

// maxDeferred is the maximum number of deferred calls of a paused router; further
// calls are dropped.
const maxDeferred = 10000

// call calls a router and performs the resulting actions. The call is deferred
// while the router is paused, and dropped if the router is dead or its generation
// has ended.
func (w *World) call(h *Host, generation int, f func() []effect.Action) {
	switch {
	case h.Dead || h.Generation != generation:
	case h.Paused:
		if len(h.deferred) < maxDeferred {
			h.deferred = append(h.deferred, func() { w.call(h, generation, f) })
		}
	default:
		for _, a := range f() {
			w.perform(h, generation, a)
		}
	}
}

// Resume resumes a paused router and makes the deferred calls.
func (w *World) Resume(h *Host) {
	h.Paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// perform performs an action of a router.
func (w *World) perform(h *Host, generation int, a effect.Action) {
	if h.Dead || h.Generation != generation {
		return
	}
	switch a := a.(type) {
	case effect.Transact, effect.Read, effect.List:
		w.accessTable(h, generation, a)
	case effect.Send:
		w.send(h, a)
	case core.StartAttempt:
		w.startAttempt(h, generation, a)
	case core.CancelAttempt:
		w.Cancelled[a.Identity]++
		if h.active[a.Identity] == a.Attempt {
			delete(h.active, a.Identity)
		}
	case core.Finish:
		delete(h.versions, a.Identity)
		w.handleFinish(h, a.Identity, a.End)
	case core.IncarnationClosed:
		w.startSuccessor(h)
	}
}

// send delivers a message, which may be lost or duplicated.
func (w *World) send(from *Host, a effect.Send) {
	self := from.Node.Self
	message := w.codec.roundTrip(w, a.Message)
	if w.Partitioned[[2]waxwingwall.VM{self.VM, a.To.VM}] || w.Random.Float64() < w.MessageLoss {
		return
	}
	deliver := func() {
		for _, h := range w.Hosts {
			if h.VM != a.To.VM || h.Dead || (a.To.Boot != 0 && h.Node.Self != a.To) {
				continue
			}
			w.step(h, h.Generation, effect.Received{
				From:    self,
				Message: message,
			})
		}
	}
	w.After(w.jitter(max(w.MessageDelay, 3*time.Millisecond)), deliver)
	if w.Random.Float64() < w.MessageLoss {
		w.After(w.jitter(300*time.Millisecond), deliver)
	}
}

// jitter returns a random duration between d/3 and 4d/3.
func (w *World) jitter(d time.Duration) time.Duration {
	return d/3 + time.Duration(w.Random.Int64N(int64(d)))
}

// tokenInterval is the time between two tokens of an attempt.
const tokenInterval = 10 * time.Millisecond

// startAttempt starts an attempt immediately; it generates a token every
// tokenInterval.
func (w *World) startAttempt(h *Host, generation int, a core.StartAttempt) {
	w.checkVersion(h, a)
	if w.happens(w.DeclineProbability) {
		w.decline(h, generation, a)
		return
	}
	w.Runs[a.Identity]++
	if w.KillOnStart {
		w.KillOnStart = false
		h.Dead = true
		return
	}
	h.active[a.Identity] = a.Attempt
	length := 3 + int(xxhash.Sum64String(a.Identity.Key)%20)
	failure, failAt := sched.Crashed, -1
	if w.Random.Float64() < w.CrashProbability {
		failAt = w.Random.IntN(length)
	} else if w.happens(w.BreakProbability) {
		failure, failAt = sched.Broken, w.Random.IntN(length)
	}
	w.nextToken(h, generation, a, 0, course{
		length:  length,
		failure: failure,
		failAt:  failAt,
	})
}

// happens draws whether something of probability p happens.
func (w *World) happens(p float64) bool {
	return p > 0 && w.Random.Float64() < p
}

// decline ends an attempt that its endpoint does not run.
func (w *World) decline(h *Host, generation int, a core.StartAttempt) {
	w.After(tokenInterval, func() {
		w.step(h, generation, core.AttemptEnded{
			Identity: a.Identity,
			Attempt:  a.Attempt,
			Failure:  sched.Declined,
		})
	})
}

// course is what an endpoint does with an attempt.
type course struct {
	// length is the number of tokens of a whole answer.
	length int

	// failure is how the attempt fails after failAt tokens; failAt is negative if it
	// doesn't.
	failure sched.Failure
	failAt  int
}

// checkVersion checks that output is only continued at the version that produced it.
func (w *World) checkVersion(h *Host, a core.StartAttempt) {
	if v, ok := h.versions[a.Identity]; ok && v != a.Version {
		w.Fail("%v: output of version %q is continued at %q", a.Identity, v, a.Version)
	}
	if c := w.clients[a.Identity]; c != nil && len(c.Request.Prior) > 0 && c.Request.PriorVersion != a.Version {
		w.Fail("%v: prior output of version %q is continued at %q", a.Identity, c.Request.PriorVersion, a.Version)
	}
}

// nextToken schedules the next token of an attempt or its end.
func (w *World) nextToken(h *Host, generation int, a core.StartAttempt, i int, c course) {
	w.After(tokenInterval, func() {
		if h.Dead || h.Generation != generation || h.active[a.Identity] != a.Attempt {
			return
		}
		if w.Silent[a.Endpoint] {
			w.nextToken(h, generation, a, i, c)
			return
		}
		end := core.AttemptEnded{
			Identity: a.Identity,
			Attempt:  a.Attempt,
			Output:   waxwingwall.Tokens(i),
			Failure:  sched.None,
			Finish:   waxwingwall.FinishStop,
		}
		switch {
		case i == c.failAt:
			end.Failure = c.failure
			w.step(h, generation, end)
		case i == c.length:
			w.step(h, generation, end)
		default:
			h.versions[a.Identity] = a.Version
			w.step(h, generation, core.AttemptProgress{
				Identity: a.Identity,
				Attempt:  a.Attempt,
				Output:   waxwingwall.Tokens(i + 1),
			})
			w.nextToken(h, generation, a, i+1, c)
		}
	})
}
