package relay

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/edge"
	"waxwingwall/io/peer"
	"waxwingwall/io/quota"
)

// TestQueueMetrics: more accounts than have a label of their own wait for room. All are counted.
func TestQueueMetrics(t *testing.T) {
	zero := func() time.Duration { return 0 }
	m, err := newMetrics(func() int { return 0 }, zero, func() peer.LinksStats { return peer.LinksStats{} }, func() quota.Stats { return quota.Stats{} })
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	for i := range maxAccounts + 7 {
		m.countEntry(edge.LogEntry{Event: "queue_left", Fields: []edge.Field{
			{Name: "rank", Value: waxwingwall.Rank(2)},
			{Name: "account", Value: waxwingwall.Account(fmt.Sprint("a", i))},
			{Name: "result", Value: "granted"},
			{Name: "waited", Value: 30 * time.Millisecond},
		}})
	}
	w := httptest.NewRecorder()
	m.handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var others, waits bool
	for line := range strings.Lines(w.Body.String()) {
		others = others || strings.HasPrefix(line, "waxwingwall_edge_queue_account_turns_total{account=\"others\"") && strings.Contains(line, "granted") && strings.HasSuffix(line, " 7\n")
		waits = waits || strings.HasPrefix(line, "waxwingwall_edge_queue_turns_total{") && strings.Contains(line, `rank="2"`) && strings.HasSuffix(line, " 107\n")
	}
	if !others || !waits {
		t.Errorf("others counted: %v, waits counted: %v", others, waits)
	}
}
