package relay

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"waxwingwall/core/edge"
	"waxwingwall/io/peer"
	"waxwingwall/io/quota"
)

// TestOldListCounted: requests that are refused by an old list of endpoints are counted, and no
// others.
func TestOldListCounted(t *testing.T) {
	m, err := newMetrics(
		func() int { return 0 },
		func() time.Duration { return 0 },
		func() peer.LinksStats { return peer.LinksStats{} },
		func() quota.Stats { return quota.Stats{} },
	)
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	for _, code := range []string{edge.CodeOldList, "link_full", edge.CodeOldList} {
		m.countEntry(edge.LogEntry{Event: "refused", Fields: []edge.Field{{Name: "code", Value: code}}})
	}
	w := httptest.NewRecorder()
	m.handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "waxwingwall_edge_old_list_refused_total") {
			if !strings.HasSuffix(line, " 2\n") {
				t.Errorf("got %s", line)
			}
			return
		}
	}
	t.Error("no such counter")
}
