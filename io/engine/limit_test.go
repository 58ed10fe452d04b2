package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"waxwingwall/io/endpoint"
)

// TestLimitInEveryAnswer guards against limits that are overlooked in failures, refusals
// and load reports.
func TestLimitInEveryAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderLimit, "0.5")
			w.WriteHeader(status)
		}))
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		c, cleanup := New()
		got := ""
		_, err := c.Stream(t.Context(), Call{
			Address: address,
			Attempt: "a",
			OnHead:  func(h http.Header) { got = h.Get(endpoint.HeaderLimit) },
		}, func(Frame) error { return nil })
		if err == nil || got != "0.5" {
			t.Errorf("status %d: limit %q, error %v", status, got, err)
		}
		cleanup()
		server.Close()
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(endpoint.HeaderLimit, "3")
		if _, err := w.Write([]byte(`{"running":1}`)); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	c, cleanup := New()
	defer cleanup()
	l, err := c.Load(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	if err != nil || l.Limit != "3" || l.Running != 1 {
		t.Errorf("load report %+v, error %v", l, err)
	}
}

// TestRetryAfter guards against waits that an unavailable engine names and that are
// overlooked, and against those of other answers.
func TestRetryAfter(t *testing.T) {
	for status, want := range map[int]string{
		http.StatusServiceUnavailable:  "2.5",
		http.StatusTooManyRequests:     "",
		http.StatusInternalServerError: "",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", " 2.5")
			w.WriteHeader(status)
		}))
		c, cleanup := New()
		_, err := c.Stream(t.Context(), Call{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Attempt: "a",
		}, func(Frame) error { return nil })
		var failure *endpoint.Error
		if !errors.As(err, &failure) || failure.RetryAfter != want || failure.Status != status {
			t.Errorf("status %d: %+v", status, failure)
		}
		cleanup()
		server.Close()
	}
}
