// Package capacity measures how the cost of the control plane scales along one
// axis at a time: routers, requests, budgets, client accounts and endpoints.
//
// The decision logic of complete routers runs in simulated time over a fake
// table and network (package fake), in one goroutine, so the run time is the CPU
// time of all routers together. Messages are encoded as between real routers;
// the cost of connections is not included. docs/CAPACITY.md uses the slope
// through the points of an axis.
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

// Axis is the parameter that a measurement varies.
type Axis string

// Axes of a measurement.
const (
	Routers   Axis = "routers"
	Requests  Axis = "requests"
	Budgets   Axis = "budgets"
	Accounts  Axis = "accounts"
	Endpoints Axis = "endpoints"
)

// Axes returns all axes, in the order of the constants.
func Axes() []Axis {
	return []Axis{Routers, Requests, Budgets, Accounts, Endpoints}
}

// fleetSize is the size of a measured fleet.
type fleetSize struct {
	routers, budgets, accounts, endpoints int

	// rate is in requests per second, summed over all routers.
	rate float64
}

// baseSize is the size of the site coulee of package bench, with one budget per
// account and no requests. Each axis starts from it.
var baseSize = fleetSize{
	routers:   8,
	budgets:   10,
	accounts:  10,
	endpoints: 14,
	rate:      0,
}

// Point is one measurement. All values but the table rates are per router.
type Point struct {
	// Axis and Value are the varied parameter and its value.
	Axis  Axis `json:"axis"`
	Value int  `json:"value"`

	// CPU is a fraction of one core.
	CPU float64 `json:"cpu_share"`

	// Heap is the heap in use, in bytes.
	Heap float64 `json:"heap_bytes"`

	// Messages and Bytes are sent per second.
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"bytes_per_second"`

	// Writes and Reads are the table rows written and read per second by the whole
	// fleet.
	Writes float64 `json:"table_writes_per_second"`
	Reads  float64 `json:"table_reads_per_second"`
}

// axisValues returns the values measured on an axis; those of Requests are in
// requests per second. The last one is near the size that the system is designed
// for.
func axisValues(a Axis) []int {
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

// Measure measures all points of one axis.
func Measure(a Axis, seed uint64) ([]Point, error) {
	values := axisValues(a)
	if values == nil {
		return nil, trace.BadParameter("unknown axis %q", a)
	}
	var out []Point
	for _, v := range values {
		s := baseSize
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

// warmUp and measureTime are in simulated time. budgetRate is the request rate at
// which the axis Budgets is measured, in requests per second summed over all
// routers. topUpTokens are paid into each budget.
const (
	warmUp      = 40 * time.Second
	measureTime = 10 * time.Second
	budgetRate  = 80
	topUpTokens = 10_000_000
)

func measure(s fleetSize, seed uint64) (Point, error) {
	var failed error
	before := heapInUse()
	w := fake.New(s.routers, seed, func(format string, args ...any) {
		failed = trace.Errorf(format, args...)
	})
	document := w.Configure(fake.Document(s.accounts, 1, s.endpoints))
	if s.rate > 0 {
		for i := range s.budgets {
			w.TopUp(fake.Budget(i), "first", topUpTokens)
		}
	}
	for _, h := range w.Hosts {
		w.Boot(h)
	}
	scheduleRequests(w, document, s)
	w.Run(warmUp)
	counts := w.Counts
	start := time.Now()
	w.Run(measureTime)
	elapsed := time.Since(start)
	routers := float64(s.routers)
	seconds := measureTime.Seconds()
	p := Point{
		CPU:      elapsed.Seconds() / seconds / routers,
		Heap:     float64(heapInUse()-before) / routers,
		Messages: float64(w.Counts.Messages-counts.Messages) / seconds / routers,
		Bytes:    float64(w.Counts.Bytes-counts.Bytes) / seconds / routers,
		Writes:   float64(w.Counts.Writes-counts.Writes) / seconds,
		Reads:    float64(w.Counts.Reads-counts.Reads) / seconds,
	}
	runtime.KeepAlive(w)
	return p, failed
}

// heapInUse returns the heap in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// scheduleRequests schedules requests at s.rate, with the accounts in rotation.
func scheduleRequests(w *fake.World, d *config.Document, s fleetSize) {
	if s.rate == 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / s.rate)
	for i := range int((warmUp + measureTime) / gap) {
		w.After(time.Duration(i)*gap, func() { sendRequest(w, d, i, i%s.accounts) })
	}
}

func sendRequest(w *fake.World, d *config.Document, i, account int) {
	request, p := core.Check(d, fake.Account(account), waxwingwall.CallerRequest{
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
