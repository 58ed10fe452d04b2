package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"waxwingwall/platform/standin"
)

// check compares the answers to callers with the runs at endpoints.
func check(t testing.TB, f *fleet, calls []*call) {
	t.Helper()
	runs := map[string][]standin.Run{}
	for _, e := range f.allEndpoints() {
		for _, r := range e.Runs() {
			runs[r.Call] = append(runs[r.Call], r)
		}
	}
	byID := map[string]*call{}
	used := int64(0)
	for _, c := range calls {
		byID[c.id] = c
		checkRuns(t, c, runs[c.id])
		delivered := checkAnswer(t, c)
		if c.account == paid && delivered > 0 {
			used += int64(c.prompt + delivered*tokensPerEvent)
		}
	}
	for id, all := range runs {
		if byID[id] == nil && !strings.HasPrefix(id, readinessPrefix) {
			t.Errorf("an endpoint ran %q, which no caller sent: %+v", id, all)
		}
	}
	if used > f.total {
		t.Errorf("the prepaid account used %d of %d tokens", used, f.total)
	}
	t.Logf("%d calls, %d of %d prepaid tokens used", len(calls), used, f.total)
}

// checkRuns checks that a request ran no more often than its route allows (at most
// two attempts if it is idempotent or a resumable stream), and as it was sent.
func checkRuns(t testing.TB, c *call, runs []standin.Run) {
	t.Helper()
	maxRuns := map[string]int{"draft": 1, "order": 1, "advice": 2, "quote": 2}[c.route]
	if len(runs) > maxRuns {
		t.Errorf("%s (%s at %s) ran %d times: %+v", c.id, c.route, c.router, len(runs), runs)
	}
	for _, r := range runs {
		if r.Body != c.body || r.Target != "/"+c.route+"/x" || r.Account != c.account || r.Key != "" {
			t.Errorf("%s ran with changed content: %+v", c.id, r)
		}
	}
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			t.Errorf("%s (%s at %s) was answered %d (not run), but ran: %s", c.id, c.route, c.router, c.status, c.text)
		}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		t.Errorf("%s (%s at %s) was answered %d: %s", c.id, c.route, c.router, c.status, c.text)
	}
}

// checkAnswer checks that an answer without an error is complete and belongs to
// its request, and that a broken stream is a prefix of the expected one. It
// returns the number of events delivered.
func checkAnswer(t testing.TB, c *call) int {
	t.Helper()
	if c.status != http.StatusOK {
		return 0
	}
	endpointID := strings.TrimPrefix(c.seal, "seal-")
	if c.seal == "" {
		t.Errorf("%s: answered 200 without the seal of an endpoint", c.id)
	}
	if c.prompt == 0 {
		if want := fmt.Sprintf("done by %s: %s", endpointID, c.body); c.err == nil && c.text != want {
			t.Errorf("%s: got %q, want %q", c.id, c.text, want)
		}
		return 0
	}
	var want strings.Builder
	for i := range streamEvents {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	if c.err == nil && c.text != want.String() || !strings.HasPrefix(want.String(), c.text) {
		t.Errorf("%s (%s at %s, error %v) got %q", c.id, c.route, c.router, c.err, c.text)
	}
	return strings.Count(c.text, "\n\n")
}
