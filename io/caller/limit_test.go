package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
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

// TestBodiesAreBoundedTogether guards against a router that has no memory for many large bodies
// at once: those without room are refused as not run.
func TestBodiesAreBoundedTogether(t *testing.T) {
	const crowd, sent, maxMemory = 64, 7 << 20, 64 << 20
	handler, err := caller.New(slowRouter{
		limit: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	body := make([]byte, sent)
	var refused, late atomic.Int64
	var callers sync.WaitGroup
	for range crowd {
		callers.Go(func() {
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", sent+1); err != nil {
				t.Error(err)
			}
			go func() { _, _ = c.Write(body) }()
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer res.Body.Close()
			switch {
			case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != "":
				refused.Add(1)
			case res.StatusCode == http.StatusRequestTimeout:
				late.Add(1)
			default:
				t.Errorf("status %d", res.StatusCode)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	callers.Wait()
	t.Logf("%d MiB of heap, %d refused, %d late", m.HeapAlloc>>20, refused.Load(), late.Load())
	if m.HeapAlloc > maxMemory || refused.Load() == 0 {
		t.Errorf("%d bytes in memory, want at most %d", m.HeapAlloc, maxMemory)
	}
}

// TestRestOfRefusedBodyIsNoRequest guards against a connection on which the rest of a body that
// was refused in the middle is read as the next request.
func TestRestOfRefusedBodyIsNoRequest(t *testing.T) {
	const holders, sent = 3, 7 << 20
	handler, err := caller.New(slowRouter{
		limit: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	body := bytes.Repeat([]byte("x\n"), sent/2)
	post := func() net.Conn {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", sent+1); err != nil {
			t.Fatal(err)
		}
		return c
	}
	for range holders {
		c := post()
		defer c.Close()
		if _, err := c.Write(body); err != nil {
			t.Fatal(err)
		}
	}
	c := post()
	defer c.Close()
	go func() { _, _ = c.Write(body) }()
	answers := bufio.NewReader(c)
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("status %d, closes %t; want %d and true", res.StatusCode, res.Close, http.StatusServiceUnavailable)
	}
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if second, err := http.ReadResponse(answers, nil); err == nil {
		t.Errorf("second answer: %s", second.Status)
		second.Body.Close()
	}
}
