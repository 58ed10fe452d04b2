package logline

import (
	"strings"
	"testing"
)

// Recorded lines of two routers.
const (
	oneLog = `{"attempt":1,"endpoint":"i-1","level":"info","msg":"dispatched","request":"a","time":"2026-10-20T21:33:49.5Z","vm":"edge-1"}
not JSON
{"level":"info","msg":"peer_dead","peer":"edge-3@1","time":"2026-10-20T21:33:49.6Z","vm":"edge-1"}
{"attempt":1,"cause":"connection reset by peer","endpoint":"i-1","level":"info","msg":"attempt_ended","request":"a","result":"broken","status":0,"time":"2026-10-20T21:33:49.7Z","vm":"edge-1"}
{"code":"endpoint_broken","level":"info","msg":"refused","outcome":"unknown","request":"a","status":502,"time":"2026-10-20T21:33:49.8Z","vm":"edge-1"}
`
	otherLog = `{"budget":"shop","free":3523,"level":"info","msg":"budget_short","pool":66974,"pool_known":false,"reason":"table_away_peers_asked","request":"b","store_lost":true,"time":"2026-10-20T21:33:50.1Z","vm":"edge-2","worst":5904}
{"code":"budget_out_of_reach","level":"info","msg":"refused","request":"b","status":503,"time":"2026-10-20T21:33:50.2Z","vm":"edge-2"}
{"level":"info","msg":"dispatched","request":"a","time":"2026-10-20T21:33:49.1Z","vm":"edge-2"}
{"level":"info","msg":"served","request":"c","time":"nonsense","vm":"edge-2"}`
)

func TestTrace(t *testing.T) {
	for request, want := range map[string]struct {
		lines int
		cause string
	}{
		"a": {4, "refused as endpoint_broken: its attempt 1 at i-1 ended as broken connection reset by peer"},
		"b": {2, "refused as budget_out_of_reach: budget shop, table_away_peers_asked: worst case 5904, free 3523, pool 66974 (current: false), store lost: true"},
		"d": {0, "no line names this request"},
	} {
		got, err := Trace(request, strings.NewReader(oneLog), strings.NewReader(otherLog))
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Lines) != want.lines || got.Cause != want.cause || got.Skipped != 1 {
			t.Errorf("%s: %+v", request, got)
		}
		for i := 1; i < len(got.Lines); i++ {
			if got.Lines[i].Time.Before(got.Lines[i-1].Time) {
				t.Errorf("%s: not in time order", request)
			}
		}
	}
	got, err := Trace("c", strings.NewReader(otherLog))
	if err != nil || got.Skipped != 1 || len(got.Lines) != 0 {
		t.Errorf("%+v %v", got, err)
	}
}

func FuzzTrace(f *testing.F) {
	f.Add(oneLog)
	f.Add("{}\n{\"request\":\"a\"}\n[]\nnull")
	f.Fuzz(func(t *testing.T, log string) {
		if _, err := Trace("a", strings.NewReader(log)); err != nil {
			t.Error(err)
		}
	})
}
