package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// replaceEngines makes both engines run at a handler.
func (f *fleet) replaceEngines(h http.HandlerFunc) {
	f.t.Helper()
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	for _, e := range f.engines {
		e.RegisteredAddress = strings.TrimPrefix(server.URL, "http://")
		f.store.Put("servers", e.ID, e.Registration("model", "ready"))
	}
	time.Sleep(300 * time.Millisecond)
}

// TestLongAnswerIsNotJoined guards against an answer that holds parts of two runs: it is no
// stream, though its route may be resumed, and its first run breaks off.
func TestLongAnswerIsNotJoined(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	const size = maxBufferedBytes + 100_000
	var runs atomic.Int32
	f.replaceEngines(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n := runs.Add(1)
		standin.SealAnswer(w.Header(), r.Header)
		w.Header().Set("Content-Type", "application/json")
		text := strings.Repeat(fmt.Sprint(n), size)
		if n == 1 {
			_, _ = io.WriteString(w, text[:maxBufferedBytes+10])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
	})
	a := f.call(f.relays[0], "advice", "", 1_000, 50)
	if a.err == nil && strings.Contains(a.body, "1") && strings.Contains(a.body, "2") {
		t.Errorf("%d runs; an answer of %d bytes that looks complete has %d of the first run and %d of the second",
			runs.Load(), len(a.body), strings.Count(a.body, "1"), strings.Count(a.body, "2"))
	}
}

// TestStreamEndsLate guards against a stream that is cut because its endpoint ends it long
// after the last event.
func TestStreamEndsLate(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.replaceEngines(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		standin.SealAnswer(w.Header(), r.Header)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: piece 1\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(writeTimeout + time.Second)
	})
	f.extendRoutes()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.relays[0].settings.Callers.String()+"/draft/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	standin.SetHeaders(req.Header, "late", "key", 1_000, 50)
	standin.SetTimeout(req.Header, 25*time.Second)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %q: %v", resp.StatusCode, body, err)
	}
}

// extendRoutes gives the requests of all routes more time than any test takes.
func (f *fleet) extendRoutes() {
	f.t.Helper()
	var c map[string]any
	if err := json.Unmarshal(standin.Configuration(2, testAccount), &c); err != nil {
		f.t.Fatal(err)
	}
	for _, r := range c["Routes"].([]any) {
		r.(map[string]any)["TimeoutMs"] = 30_000
	}
	text, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("op", "config", text)
	time.Sleep(500 * time.Millisecond)
}

// TestSilenceBesideDecliningEndpoint guards against streams that are cut because they are
// left for an endpoint that declines them, while their own goes on after a while.
func TestSilenceBesideDecliningEndpoint(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	f.extendRoutes()
	f.callerTime = 25 * time.Second
	f.slowEvents()
	answers := f.callAll("advice", 8, 100*time.Millisecond, func() {
		f.engines[0].Silence(2600 * time.Millisecond)
		f.engines[1].Decline(1_000)
	})
	f.checkWhole(answers, wholeStream)
}
