package escrow

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	benchRequests = 10  // requests a second
	benchTicks    = 10  // ticks a second
	benchWorst    = 800 // tokens reserved for a request
	benchUsed     = 375 // mean tokens used by a request
)

// benchLoad is one node with a table that answers immediately.
type benchLoad struct {
	*world
	node  *testNode
	zipf  *rand.Zipf
	names []waxwingwall.Budget
}

func newBenchLoad(budgets int) *benchLoad {
	w := newWorld(1, 1, WithShards(DefaultShards))
	l := &benchLoad{
		world: w,
		node:  w.nodes[0],
		zipf:  rand.NewZipf(w.random, 1.1, 1, uint64(budgets-1)),
	}
	for i := range budgets {
		name := waxwingwall.Budget(fmt.Sprintf("account-%05d/main", i))
		l.names = append(l.names, name)
		w.rows[BudgetKey(name)] = waxwingwall.Row{
			Version: 1,
			Value: Encode(BudgetRow{
				Total: 1_000_000_000,
			}),
		}
	}
	return l
}

// step steps the Book and answers its calls until none is left.
func (l *benchLoad) step(ev effect.Event) {
	for _, a := range l.node.book.Step(l.now, ev) {
		switch a := a.(type) {
		case effect.Transact:
			l.step(l.transact(a))
		case effect.Read:
			rows := effect.Rows{ID: a.ID}
			for _, key := range a.Keys {
				row := l.rows[key]
				row.Key = key
				rows.Rows = append(rows.Rows, row)
			}
			l.step(rows)
		}
	}
}

// runSecond simulates one second.
func (l *benchLoad) runSecond() {
	book := l.node.book
	for range benchRequests {
		budget := l.names[l.zipf.Uint64()]
		for book.Reserve(l.now, budget, benchWorst).Kind != Granted {
			l.step(effect.Tick{})
			l.now = l.now.Add(time.Millisecond)
		}
		book.Settle(l.now, budget, benchWorst, waxwingwall.Tokens(l.random.IntN(2*benchUsed)))
	}
	for range benchTicks {
		l.now = l.now.Add(time.Second / benchTicks)
		l.step(effect.Tick{})
	}
}

// BenchmarkLoad reports the table load of one node at the request rate of the
// capacity page, for several numbers of budgets. One operation is a second of
// virtual time; an hour is simulated before the first.
func BenchmarkLoad(b *testing.B) {
	for _, budgets := range []int{100, 700, 5000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			var before, after runtime.MemStats
			l := newBenchLoad(budgets)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range 3600 {
				l.runSecond()
			}
			start := l.node.book.Counts()
			b.ResetTimer()
			for range b.N {
				l.runSecond()
			}
			b.StopTimer()
			end := l.node.book.Counts()
			seconds := float64(b.N)
			b.ReportMetric(float64(end.Transactions-start.Transactions)/seconds, "transactions/s")
			b.ReportMetric(float64(end.Writes-start.Writes)/seconds, "rows/s")
			b.ReportMetric(float64(end.Bytes-start.Bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(end.Reads-start.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(len(l.node.book.entries)), "entries")
			l.rows = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkHot reports how many nodes can draw on one budget at once, from the
// first request on. One operation is a second of virtual time.
func BenchmarkHot(b *testing.B) {
	for _, nodes := range []int{20, 80, 340} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			w := newWorld(1, nodes)
			w.topUp(shop, "first", 1_000_000_000)
			w.run(100 * time.Millisecond)
			granted, waiting, refused := 0, 0, 0
			for range b.N {
				for range 10 {
					for _, n := range w.nodes {
						if w.random.IntN(10) > 0 {
							continue
						}
						switch n.request(shop, benchWorst) {
						case Granted:
							granted++
							n.finish(0, waxwingwall.Tokens(w.random.IntN(2*benchUsed)))
						case Waiting:
							waiting++
						default:
							refused++
						}
					}
					w.run(100 * time.Millisecond)
				}
			}
			var counts Counts
			for _, n := range w.nodes {
				c := n.book.Counts()
				counts.Transactions += c.Transactions
				counts.Conflicts += c.Conflicts
				counts.Reads += c.Reads
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(counts.Transactions)/seconds, "transactions/s")
			b.ReportMetric(float64(counts.Conflicts)/seconds, "conflicts/s")
			b.ReportMetric(float64(counts.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(granted)/seconds, "granted/s")
			b.ReportMetric(float64(waiting)/seconds, "waiting/s")
			b.ReportMetric(float64(refused)/seconds, "refused/s")
		})
	}
}
