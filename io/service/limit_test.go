package service

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"waxwingwall/io/endpoint"
)

// TestLimitInEveryAnswer guards against limits that are overlooked in failures and
// refusals.
func TestLimitInEveryAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderLimit, "0.5")
			w.WriteHeader(status)
		}))
		c, cleanup := New()
		got := ""
		_, err := c.Do(t.Context(), Call{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Attempt: "a",
			OnHead:  func(h http.Header) { got = h.Get(endpoint.HeaderLimit) },
		})
		if got != "0.5" {
			t.Errorf("status %d: limit %q, error %v", status, got, err)
		}
		cleanup()
		server.Close()
	}
}

// TestRetryAfter guards against waits that an unavailable service names and that are
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
		answer, err := c.Do(t.Context(), Call{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Attempt: "a",
		})
		if err != nil || answer.RetryAfter != want || answer.Status != status {
			t.Errorf("status %d: %+v, error %v", status, answer, err)
		}
		cleanup()
		server.Close()
	}
}
