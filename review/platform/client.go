package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// callTimeout is how long a client waits for an answer, in addition to its time limit.
const callTimeout = 2 * time.Second

// call is a request of a client with what the client saw of it.
type call struct {
	id     string
	router *router
	sent   time.Time
	ended  time.Time
	status int
	err    error
	body   string
	header http.Header
}

// request is what a client asks for.
type request struct {
	method, path, key string
	deadlineMs        int
	header            map[string]string
}

// client sends requests on kept channels.
type client struct {
	http *http.Client
	host string
	ids  *atomic.Int64
}

var attempts atomic.Int64

func newClient(host string) *client {
	return &client{
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
				DisableCompression:  true,
			},
		},
		host: host,
		ids:  &attempts,
	}
}

// do sends a request to a router and reads the answer.
func (c *client) do(to *router, q request) call {
	out := call{
		id:     fmt.Sprintf("%08x%08x", os.Getpid(), c.ids.Add(1)),
		router: to,
	}
	limit := time.Duration(q.deadlineMs)*time.Millisecond + callTimeout
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+to.callers+q.path, nil)
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = c.host
	req.Header.Set("X-Attempt-Id", out.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadlineMs))
	if q.key != "" {
		req.Header.Set("X-Api-Key", q.key)
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	out.sent = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		out.err = err
		out.ended = time.Now()
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	out.status, out.body, out.err, out.header = resp.StatusCode, string(body), err, resp.Header
	out.ended = time.Now()
	return out
}

// every calls f at an interval in a goroutine of its own until the returned function is
// called, which waits for the last call.
func every(interval time.Duration, f func()) func() {
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				done.Add(1)
				go func() {
					defer done.Done()
					f()
				}()
			}
		}
	}()
	return func() {
		close(stop)
		done.Wait()
	}
}
