package claim_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/claim"
)

// BenchmarkRequest measures the cost of a request from Begin to its filed
// bill, with a witness: time (including the fakes of table and network), bytes
// sent to the witness and bytes written to the table.
func BenchmarkRequest(b *testing.B) {
	w := newWorld(1)
	w.runSteps = 1
	w.boot("a", "one")
	w.boot("b", "two")
	w.advance(20 * time.Second)
	w.wireBytes, w.table.writtenBytes = 0, 0
	b.ResetTimer()
	for i := range b.N {
		request := claim.RunRequest{
			Identity: waxwingwall.Identity{
				Account: waxwingwall.Account(fmt.Sprint("account-", i%100)),
				Key:     fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i),
			},
			Budget: "budget-of-the-account",
			Worst:  4000,
			Digest: uint64(i),
		}
		w.submit(w.routers[0], request)
		if i%50 == 0 {
			w.advance(testTick)
		}
	}
	w.advance(10 * time.Second)
	b.StopTimer()
	if len(w.violations) > 0 || len(w.bills()) != b.N {
		b.Fatalf("%d bills of %d: %v", len(w.bills()), b.N, w.violations)
	}
	b.ReportMetric(float64(w.wireBytes)/float64(b.N), "wire_bytes/op")
	b.ReportMetric(float64(w.table.writtenBytes)/float64(b.N), "table_bytes/op")
}
