package config

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// budgetsPerAccount is the average number of budgets of a client account in a
// large document; 14,000 accounts then have 230,000 budgets.
const budgetsPerAccount = 16.43

// largeDocument returns a document with n client accounts.
func largeDocument(n, weight int) string {
	var b strings.Builder
	b.WriteString("[rank r]\nlevel = 0\n")
	budget := 0
	for i := range n {
		fmt.Fprintf(&b, "[account account-%d]\nkey_hashes = %064x\nrank = r\nbudget = budget-%d\n", i, i, budget)
		if i == n/2 {
			fmt.Fprintf(&b, "weight = %d\n", weight)
		}
		for ; float64(budget) < budgetsPerAccount*float64(i+1); budget++ {
			fmt.Fprintf(&b, "[budget budget-%d]\naccount = account-%d\n", budget, i)
		}
	}
	return b.String()
}

// BenchmarkDocument measures the cost of a large document in a router: parsing
// it, holding it in memory, and applying a change to one account.
func BenchmarkDocument(b *testing.B) {
	for _, n := range []int{1000, 4000, 14000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			before, after := largeDocument(n, 1), largeDocument(n, 2)
			for range b.N {
				if _, err := Parse([]byte(before)); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(len(before)), "text-bytes")
			w := NewWatcher(Production)
			empty := heapBytes()
			feedVersion(b, w, before, 1)
			b.ReportMetric(float64(heapBytes()-empty), "held-bytes")
			begin := time.Now()
			b.ReportMetric(float64(feedVersion(b, w, after, 2)), "change-bytes")
			b.ReportMetric(float64(time.Since(begin).Milliseconds()), "change-ms")
			runtime.KeepAlive(w)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fataler is implemented by *testing.T, *testing.B and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// feedVersion lets a Watcher fetch a text from the table and returns the number
// of bytes read.
func feedVersion(b fataler, w *Watcher, text string, version int64) int {
	manifest, parts := splitText(text)
	value := encodeJSON(manifest)
	head := Head{
		Version: version,
		Digest:  Digest([]byte(value)),
	}
	read := 0
	now := time.Unix(100*version, 0)
	limit := now.Add(time.Minute)
	var actions []effect.Action
	for w.Head().Version < version {
		if len(actions) == 0 {
			now = now.Add(20 * time.Millisecond)
			actions = w.Step(now, effect.Tick{})
			if now.After(limit) {
				b.Fatalf("has version %d: %+v", w.Head().Version, w.Dump())
			}
			continue
		}
		r, ok := actions[0].(effect.Read)
		actions = actions[1:]
		if !ok {
			continue
		}
		answer := effect.Rows{
			ID: r.ID,
		}
		for _, key := range r.Keys {
			row := waxwingwall.Row{
				Key:     key,
				Version: 1,
			}
			switch key {
			case CurrentKey(Production):
				row.Value = encodeJSON(head)
			case DocKey(Production, version):
				row.Value = value
			default:
				row.Value = parts[strings.TrimPrefix(key, PartKey(Production, ""))]
			}
			read += len(row.Value)
			answer.Rows = append(answer.Rows, row)
		}
		actions = append(actions, w.Step(now, answer)...)
	}
	return read
}

// BenchmarkPropagation measures the time until a change is active on every
// router, the same time when the table fails as soon as the first router has the
// change, and the messages and table reads while nothing changes. Message sizes
// are those of their JSON encoding.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{8, 85, 170, 340} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var slowest, slowestWithoutTable time.Duration
			var reads, sent, bytes float64
			for i := range b.N {
				s := newSimulation(b, uint64(i), n)
				s.lossy = false
				s.submitChange(Newest)
				s.run(20 * time.Second)
				s.tableReads, s.sentMessages, s.sentBytes = 0, 0, 0
				s.run(20 * time.Second)
				reads += float64(s.tableReads) / float64(20*b.N)
				sent += float64(s.sentMessages) / float64(20*n*b.N)
				bytes += float64(s.sentBytes) / float64(20*n*b.N)
				s.submitChange(Newest)
				slowest = max(slowest, s.runUntilActive(b, 2))
				s.submitChange(Newest)
				for slices.Max(s.active) < 3 {
					s.run(50 * time.Millisecond)
				}
				s.table.down = true
				slowestWithoutTable = max(slowestWithoutTable, s.runUntilActive(b, 3))
			}
			b.ReportMetric(slowest.Seconds(), "s-in-force")
			b.ReportMetric(slowestWithoutTable.Seconds(), "s-in-force-without-table")
			b.ReportMetric(reads, "table-reads/s")
			b.ReportMetric(sent, "messages/s/node")
			b.ReportMetric(bytes, "bytes/s/node")
		})
	}
}

// runUntilActive runs until every watcher has at least a version, and returns the
// elapsed time.
func (s *simulation) runUntilActive(b *testing.B, version int64) time.Duration {
	begin := s.now
	for {
		behind := 0
		for _, v := range s.active {
			if v < version {
				behind++
			}
		}
		if behind == 0 {
			return s.now.Sub(begin)
		}
		if s.now.Sub(begin) > time.Minute {
			b.Fatalf("%d routers don't have version %d after a minute", behind, version)
		}
		s.run(50 * time.Millisecond)
	}
}

// TestPartsParseLikeFullText feeds drawn documents to a Watcher and checks that
// merging their parts gives the same document as parsing the full text.
func TestPartsParseLikeFullText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWatcher(Production)
		for version := range rapid.Int64Range(1, 3).Draw(t, "versions") {
			n := rapid.IntRange(1, 40).Draw(t, "accounts")
			text := largeDocument(n, rapid.IntRange(1, 9).Draw(t, "weight"))
			if rapid.Bool().Draw(t, "limits") {
				text += "[limits]\nmax_output = 9999\n"
			}
			feedVersion(t, w, text, version+1)
			want, err := Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if got := w.Document(); got.String() != want.String() {
				t.Fatalf("version %d: got\n%s\nwant\n%s", version+1, got, want)
			}
		}
	})
}
