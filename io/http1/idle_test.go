package http1

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestCloseIdleConnections: a client over a Transport closes its idle connections when it is
// told to, as one that suspects them to be dead does.
func TestCloseIdleConnections(t *testing.T) {
	var opened, closed atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := &http.Client{
		Transport: &Transport{
			RoundTripper: &http.Transport{
				DialContext: Dial((&net.Dialer{}).DialContext).Checked(),
			},
		},
	}
	get := func() {
		t.Helper()
		res, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		if err := res.Body.Close(); err != nil {
			t.Fatal(err)
		}
	}
	get()
	client.CloseIdleConnections()
	for end := time.Now().Add(5 * time.Second); closed.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	get()
	if opened.Load() != 2 {
		t.Fatalf("%d connections were opened, %d closed", opened.Load(), closed.Load())
	}
}
