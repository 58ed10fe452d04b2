// Package fake drives whole routers' decision logic in modelled time, over a
// fake table, a fake network and fake endpoints, all in one goroutine.
//
// Faults are fields of a World: an outage of the table, lost answers, lost or
// cut messages, dead or frozen routers, crashing endpoints. It is for property
// tests and for experiments; the same seed gives the same run.
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

// World drives several nodes in modelled time over a fake table, a fake network
// and fake endpoints, all in one goroutine. Faults are fields that a test sets.
type World struct {
	// Now is the simulated time, TickInterval the time between two ticks of a router.
	Now          time.Time
	TickInterval time.Duration

	// Random makes all choices; Fail is told of broken promises.
	Random *rand.Rand
	Fail   func(format string, args ...any)

	// Rows is the table. Outage makes it lose everything; AnswerLoss is the
	// probability that an answer is lost after the write.
	Rows       map[string]waxwingwall.Row
	Outage     bool
	AnswerLoss float64

	// MessageLoss is the probability that a message is lost; Partitioned holds the pairs of
	// VMs, from and to, between which all are.
	MessageLoss float64
	Partitioned map[[2]waxwingwall.VM]bool

	// KillOnAnswer and KillOnStart kill a router in the moment in which it gives
	// its next whole answer, or begins its next attempt; each strikes once.
	KillOnAnswer, KillOnStart bool

	// Hosts are the VMs. CrashProbability is the probability that an attempt crashes its
	// endpoint.
	Hosts            []*Host
	CrashProbability float64

	// Runs counts the attempts on endpoints, Answers holds all final answers.
	Runs    map[waxwingwall.Identity]int
	Answers map[waxwingwall.Identity][]waxwingwall.End

	// Counts is what the fleet cost.
	Counts Counts

	// codec is between the routers; clients are those whose requests an owner
	// has taken.
	codec   *codec
	clients map[waxwingwall.Identity]*Client

	// tasks holds what is to come, taskSeq counts what was put there; version is the
	// table's last.
	tasks   taskQueue
	taskSeq int
	version int64
}

// Counts sums up what a fleet asks of the platform and the network.
type Counts struct {
	// Writes and Reads count rows of the table.
	Writes, Reads int

	// Messages counts messages between routers, Bytes their encoded size.
	Messages, Bytes int
}

// Host is one VM with its router.
type Host struct {
	// VM and Place tell where it is.
	VM    waxwingwall.VM
	Place core.Place

	// Node is the present incarnation; Generation counts them.
	Node       *core.Node
	Generation int

	// Dead is set once the VM is gone; Paused while its process is frozen.
	Dead, Paused bool

	// What a frozen process finds when it wakes, and the attempts that run.
	deferred []func()
	active   map[waxwingwall.Identity]int
}

// taskQueue is a heap of things to do, by time and then by order of arrival.
type taskQueue []task

type task struct {
	at  time.Time
	seq int
	do  func()
}

func (l taskQueue) Len() int { return len(l) }
func (l taskQueue) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].seq < l[j].seq
}
func (l taskQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *taskQueue) Push(x any)   { *l = append(*l, x.(task)) }
func (l *taskQueue) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// New returns a World with VMs whose routers are not booted yet. What breaks a
// promise goes to fail.
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
	}
	for i := range routers {
		h := &Host{
			VM: waxwingwall.VM(fmt.Sprintf("vm%d", i)),
			Place: core.Place{
				Peers:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
				Callers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 2),
				Domain:  waxwingwall.Domain(fmt.Sprintf("domain%d", i%3)),
			},
		}
		w.Hosts = append(w.Hosts, h)
	}
	return w
}

// After does something once the time has passed.
func (w *World) After(d time.Duration, do func()) {
	w.taskSeq++
	heap.Push(&w.tasks, task{
		at:  w.Now.Add(d),
		seq: w.taskSeq,
		do:  do,
	})
}

// Run lets modelled time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.tasks) > 0 && !w.tasks[0].at.After(end) {
		t := heap.Pop(&w.tasks).(task)
		w.Now = t.at
		t.do()
	}
	w.Now = end
}

// Boot begins a new life of a VM, with nothing kept of the last one.
func (w *World) Boot(h *Host) {
	self := waxwingwall.Incarnation{
		VM:   h.VM,
		Boot: w.Now.UnixMilli(),
	}
	w.startNode(h, core.New(self, h.Place, config.Production, w.Random.Uint64()))
}

// startSuccessor lets a process go on after another router closed its incarnation.
func (w *World) startSuccessor(h *Host) {
	next, actions := h.Node.Successor(w.Now, max(w.Now.UnixMilli(), h.Node.Self.Boot+1), w.Random.Uint64())
	w.startNode(h, next)
	for _, a := range actions {
		w.perform(h, h.Generation, a)
	}
}

// startNode makes a node the present life of a VM.
func (w *World) startNode(h *Host, n *core.Node) {
	h.Generation++
	h.Dead = false
	h.Paused = false
	h.deferred = nil
	h.active = make(map[waxwingwall.Identity]int)
	h.Node = n
	w.tick(h, h.Generation)
	w.listMembers(h, h.Generation)
}

// tick ticks a router for as long as its life lasts.
func (w *World) tick(h *Host, generation int) {
	if h.Generation != generation || h.Dead {
		return
	}
	w.step(h, generation, effect.Tick{})
	w.After(w.TickInterval, func() { w.tick(h, generation) })
}

// listMembers shows a router the platform's list of VMs now and then.
func (w *World) listMembers(h *Host, generation int) {
	if h.Generation != generation || h.Dead {
		return
	}
	var members []waxwingwall.Member
	for _, o := range w.Hosts {
		members = append(members, waxwingwall.Member{
			VM:      o.VM,
			Address: o.Place.Peers,
			Domain:  o.Place.Domain,
		})
	}
	w.step(h, generation, member.Listed{
		Members: members,
	})
	w.After(time.Second, func() { w.listMembers(h, generation) })
}

// Deliver gives an event to a router, as a driver would.
func (w *World) Deliver(h *Host, ev effect.Event) {
	w.step(h, h.Generation, ev)
}

// step gives an event to a router, now or when it wakes.
func (w *World) step(h *Host, generation int, ev effect.Event) {
	w.call(h, generation, func() []effect.Action {
		return h.Node.Step(w.Now, ev)
	})
}

// maxDeferred bounds what a frozen router finds when it wakes.
const maxDeferred = 10000

// call lets a router do something and performs what comes out. One that is
// frozen does it when it wakes, one whose life is over never.
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

// Resume lets a frozen router go on, with all that it missed.
func (w *World) Resume(h *Host) {
	h.Paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// perform carries out an action of a router.
func (w *World) perform(h *Host, generation int, a effect.Action) {
	if h.Dead || h.Generation != generation {
		return
	}
	switch a := a.(type) {
	case effect.Transact, effect.Read, effect.List:
		w.accessTable(h, generation, a)
	case effect.Send:
		w.send(h, a)
	case core.Start:
		w.startAttempt(h, generation, a)
	case core.Stop:
		if h.active[a.Identity] == a.Attempt {
			delete(h.active, a.Identity)
		}
	case core.Finish:
		w.handleFinish(h, a.Identity, a.End)
	case core.Stopped:
		w.startSuccessor(h)
	}
}

// send carries a message, which may be lost, or come twice.
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
	w.After(w.jitter(3*time.Millisecond), deliver)
	if w.Random.Float64() < w.MessageLoss {
		w.After(w.jitter(300*time.Millisecond), deliver)
	}
}

// jitter returns a time from a third of d to four thirds of it.
func (w *World) jitter(d time.Duration) time.Duration {
	return d/3 + time.Duration(w.Random.Int64N(int64(d)))
}

// tokenInterval is the time between two tokens of an attempt.
const tokenInterval = 10 * time.Millisecond

// startAttempt runs an attempt: it begins at once and gives a token every tokenInterval.
func (w *World) startAttempt(h *Host, generation int, a core.Start) {
	w.Runs[a.Identity]++
	if w.KillOnStart {
		w.KillOnStart = false
		h.Dead = true
		return
	}
	h.active[a.Identity] = a.Attempt
	length := 3 + int(xxhash.Sum64String(a.Identity.Key)%20)
	crashAt := -1
	if w.Random.Float64() < w.CrashProbability {
		crashAt = w.Random.IntN(length)
	}
	w.nextToken(h, generation, a, 0, length, crashAt)
}

// nextToken gives the next token of an attempt, or its end.
func (w *World) nextToken(h *Host, generation int, a core.Start, i, length, crashAt int) {
	w.After(tokenInterval, func() {
		if h.Dead || h.Generation != generation || h.active[a.Identity] != a.Attempt {
			return
		}
		end := core.Ended{
			Identity: a.Identity,
			Attempt:  a.Attempt,
			Output:   waxwingwall.Tokens(i),
			Finish:   waxwingwall.FinishStop,
		}
		switch {
		case i == crashAt:
			end.Failure = sched.Crashed
			w.step(h, generation, end)
		case i == length:
			w.step(h, generation, end)
		default:
			w.step(h, generation, core.Streamed{
				Identity: a.Identity,
				Attempt:  a.Attempt,
				Output:   waxwingwall.Tokens(i + 1),
			})
			w.nextToken(h, generation, a, i+1, length, crashAt)
		}
	})
}
