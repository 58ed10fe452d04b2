// Package capacity measures how the cost of control grows, one axis at a time:
// routers, requests, budgets, client accounts and endpoints.
//
// The decision logic of whole routers runs in modelled time over a fake table
// and network (package fake), in one goroutine, so the time that a run takes is
// the processor time of all its routers together. Messages pass through the
// encoding that routers use; the cost of the connections is not in it. A slope
// through the points of an axis is what docs/CAPACITY.md works with.
package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core"
	"waxwingwall/core/config"
	"waxwingwall/fake"
)

// Axis is what a measurement varies.
type Axis string

// The axes.
const (
	Routers   Axis = "routers"
	Requests  Axis = "requests"
	Budgets   Axis = "budgets"
	Accounts  Axis = "accounts"
	Endpoints Axis = "endpoints"
)

// Axes returns all.
func Axes() []Axis {
	return []Axis{Routers, Requests, Budgets, Accounts, Endpoints}
}

// size is one configuration of a measured fleet.
type size struct {
	routers, budgets, accounts, endpoints int

	// rate is in requests a second, over all routers.
	rate float64
}

// base is the fleet that each axis starts from: that of today.
var base = size{
	routers:   8,
	budgets:   10,
	accounts:  10,
	endpoints: 14,
	rate:      0,
}

// Point is one measurement. All but the table's rates are for one router.
type Point struct {
	// Axis and Value tell what was varied and to what.
	Axis  Axis `json:"axis"`
	Value int  `json:"value"`

	// CPU is the share of one core.
	CPU float64 `json:"cpu_share"`

	// Heap is the memory in use, in bytes.
	Heap float64 `json:"heap_bytes"`

	// Messages and Bytes are sent a second.
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"bytes_per_second"`

	// Writes and Reads are rows of the table a second, of the whole fleet.
	Writes float64 `json:"table_writes_per_second"`
	Reads  float64 `json:"table_reads_per_second"`
}

// points are the values of each axis, the last one near the size that the
// design is for.
func points(a Axis) []int {
	switch a {
	case Routers:
		return []int{8, 40, 80, 160}
	case Requests:
		return []int{8, 40, 80, 160}
	case Budgets:
		return []int{100, 700, 2800}
	case Accounts:
		return []int{100, 3500, 14000}
	case Endpoints:
		return []int{14, 150, 600}
	}
	return nil
}

// Measure makes the measurements of one axis.
func Measure(a Axis, seed uint64) ([]Point, error) {
	values := points(a)
	if values == nil {
		return nil, trace.BadParameter("no axis %q", a)
	}
	var out []Point
	for _, v := range values {
		s := base
		switch a {
		case Routers:
			s.routers = v
		case Requests:
			s.rate = float64(v)
		case Budgets:
			s.budgets = v
			s.accounts = v
			s.rate = budgetRate
		case Accounts:
			s.accounts = v
			s.budgets = v
		case Endpoints:
			s.endpoints = v
		}
		p, err := measure(s, seed)
		if err != nil {
			return nil, err
		}
		p.Axis = a
		p.Value = v
		out = append(out, p)
	}
	return out, nil
}

// Lengths of a measurement in modelled time, and the request rate at which
// budgets are measured.
const (
	warmUp     = 40 * time.Second
	length     = 10 * time.Second
	budgetRate = 80
	largePay   = 10_000_000
)

func measure(s size, seed uint64) (Point, error) {
	var failed error
	before := heap()
	w := fake.New(s.routers, seed, func(format string, args ...any) {
		failed = trace.Errorf(format, args...)
	})
	document := w.Configure(fake.Document(s.accounts, 1, s.endpoints))
	if s.rate > 0 {
		for i := range s.budgets {
			w.TopUp(fake.Budget(i), "first", largePay)
		}
	}
	for _, h := range w.Hosts {
		w.Boot(h)
	}
	load(w, document, s)
	w.Run(warmUp)
	counts := w.Counts
	began := time.Now()
	w.Run(length)
	took := time.Since(began)
	routers := float64(s.routers)
	seconds := length.Seconds()
	p := Point{
		CPU:      took.Seconds() / seconds / routers,
		Heap:     float64(heap()-before) / routers,
		Messages: float64(w.Counts.Messages-counts.Messages) / seconds / routers,
		Bytes:    float64(w.Counts.Bytes-counts.Bytes) / seconds / routers,
		Writes:   float64(w.Counts.Writes-counts.Writes) / seconds,
		Reads:    float64(w.Counts.Reads-counts.Reads) / seconds,
	}
	runtime.KeepAlive(w)
	return p, failed
}

// heap returns the memory in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// load offers requests of all accounts in turn.
func load(w *fake.World, d *config.Document, s size) {
	if s.rate == 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / s.rate)
	for i := range int((warmUp + length) / gap) {
		w.After(time.Duration(i)*gap, func() { ask(w, d, i, i%s.accounts) })
	}
}

func ask(w *fake.World, d *config.Document, i, who int) {
	request, p := core.Check(d, fake.Account(who), waxwingwall.CallerRequest{
		Model: "m",
		Messages: []waxwingwall.Message{
			{
				Role:    "user",
				Content: fmt.Sprint("question ", i),
			},
		},
	})
	if p != nil {
		w.Fail("check: %v", p)
		return
	}
	w.Submit(&fake.Client{
		Request:  request,
		MaxTries: 1,
	})
}
