package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/io/caller"
)

// slowRouter answers a question for a status after a time.
type slowRouter struct {
	waxwingwall.CallerAPI
	limit time.Duration
	takes time.Duration
}

func (slowRouter) Account(string) (waxwingwall.Account, error) { return "shop", nil }
func (r slowRouter) BodyTimeout() time.Duration                { return r.limit }

func (r slowRouter) RequestStatus(ctx context.Context, _ waxwingwall.Account, _ string) (waxwingwall.Status, error) {
	select {
	case <-time.After(r.takes):
	case <-ctx.Done():
		return waxwingwall.Status{}, ctx.Err()
	}
	return waxwingwall.Status{
		Known:   true,
		Outcome: waxwingwall.Ran,
	}, nil
}

// TestBodyLimitSparesRequestsWithoutBody guards against a request without a body, and all
// later ones of its connection, that end because their handlers take longer than a body may.
func TestBodyLimitSparesRequestsWithoutBody(t *testing.T) {
	const limit = 50 * time.Millisecond
	handler, err := caller.New(slowRouter{
		limit: limit,
		takes: 4 * limit,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	for i := range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/requests/one", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("request %d: %v", i, err)
			continue
		}
		text, err := io.ReadAll(res.Body)
		if err := res.Body.Close(); err != nil {
			t.Error(err)
		}
		if err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d, %s, %v", i, res.StatusCode, text, err)
		}
	}
}
