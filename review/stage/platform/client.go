package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// attempts counts the attempts of clients.
var attempts atomic.Int64

// attempt is one client attempt and what came of it.
type attempt struct {
	id, target, machine string
	sent, ended         time.Time
	status              int
	body                string
	retryAfter          string
	err                 error
}

// served reports whether the attempt got a whole answer with success.
func (a *attempt) served() bool {
	return a.err == nil && a.status == http.StatusOK
}

// outcome tells what came of the attempt.
func (a *attempt) outcome() string {
	if a.err != nil {
		return "no answer"
	}
	return strconv.Itoa(a.status)
}

// call is what a client sends.
type call struct {
	method, target, key string

	// prompt and output are the tokens of a generation; zero for a plain request.
	prompt, output int
	timeout        time.Duration
}

// client returns an HTTP client that opens a channel for each request, as clients do for retries.
func client() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// send sends one attempt to a machine.
func send(c *http.Client, r *router, call call) *attempt {
	a := &attempt{
		id:      fmt.Sprintf("a%015x", attempts.Add(1)),
		target:  call.target,
		machine: r.name,
		sent:    time.Now(),
	}
	defer func() { a.ended = time.Now() }()
	req, err := http.NewRequest(call.method, "http://"+r.callers+call.target, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Api-Key", call.key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.timeout.Milliseconds(), 10))
	if call.prompt > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", call.prompt, call.output))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("ab:%d,%x:%d", call.prompt/2, attempts.Add(1)+1<<20, call.prompt-call.prompt/2))
	}
	hurry := *c
	hurry.Timeout = call.timeout
	resp, err := hurry.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(text), err
	a.retryAfter = resp.Header.Get("Retry-After")
	return a
}
