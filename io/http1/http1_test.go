package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
)

// heads are starts of answers, and the error of those that are none.
var heads = []struct {
	text string
	want error
}{
	{"HTTP/1.1 200 OK\r\n\r\n", nil},
	{"HTTP/1.1 200\r\n\r\n", nil},
	{"HTTP/1.1 200\n\n", nil},
	{"HTTP/1.0 599 Odd\r\n\r\n", nil},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", nil},
	{"HTTP/1.1 100\r\nA: content-length: 1\r\n\r\nHTTP/1.1 200\r\n\r\n", nil},
	{strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", MaxInterim) + "HTTP/1.1 200 OK\r\n\r\n", nil},
	{strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", MaxInterim+1) + "HTTP/1.1 200 OK\r\n\r\n", ErrInterim},
	{"HTTP/1.1 100 Continue\r\ncontent-Length: 9\r\n\r\n", ErrInterim},
	{"HTTP/1.1 103\nA: b\nTransfer-Encoding: chunked\n\n", ErrInterim},
	{"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", ErrStatus},
	{"HTTP/1.1 099 Odd\r\n\r\n", ErrStatus},
	{"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrStatus},
	{"HTTP/1.1 104 Odd\r\n\r\n", ErrStatus},
	{"HTTP/1.1 600 Odd\r\n\r\n", ErrStatus},
	{"HTTP/1.1 +20 Odd\r\n\r\n", ErrStatus},
	{"HTTP/1.1  200 OK\r\n\r\n", ErrStatus},
	{"HTTP/1.1 2000 OK\r\n\r\n", ErrStatus},
	{"HTTP/1.1 \r\n\r\n", ErrStatus},
}

// pieces returns a connection that brings a text in pieces of a size.
func pieces(t *testing.T, text string, size int) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() {
		defer far.Close()
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(far, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	return near
}

// TestHeads: a connection passes on all of a body after a head, whatever it is, and nothing from where
// a head is none of an answer on, however it arrives.
func TestHeads(t *testing.T) {
	for _, head := range heads {
		for _, size := range []int{1, 7, 1 << 10} {
			text := head.text + "HTTP/1.1 000 body"
			got, err := io.ReadAll(NewConn(pieces(t, text, size)))
			if !errors.Is(err, head.want) || err == nil && string(got) != text || err != nil && len(got) >= len(head.text) {
				t.Errorf("%q in pieces of %d: %q, %v", head.text, size, got, err)
			}
			if len(got) == 0 {
				t.Errorf("%q in pieces of %d: nothing is read", head.text, size)
			}
		}
	}
}

// TestCheckStatus: the first status is told without a byte of the answer being taken.
func TestCheckStatus(t *testing.T) {
	for _, head := range heads {
		r := bufio.NewReader(strings.NewReader(head.text))
		if err := CheckStatus(r); err != nil && !errors.Is(err, head.want) {
			t.Errorf("%q: %v", head.text, err)
		}
		if got, err := io.ReadAll(r); string(got) != head.text || err != nil {
			t.Errorf("%q: %q, %v", head.text, got, err)
		}
	}
}

// TestTransport guards against a later answer on a kept connection that is not checked, and against a
// refused one that is asked for again.
func TestTransport(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	inner := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	for _, status := range []string{"000", "+20", " 200", "101", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var mu sync.Mutex
			requests := 0
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						r := bufio.NewReader(c)
						for {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							mu.Lock()
							requests++
							mu.Unlock()
							text := whole
							if req.URL.Path == "/bad" {
								text = fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner)
							}
							if _, err := io.WriteString(c, text); err != nil {
								return
							}
						}
					}()
				}
			}()
			below := &http.Transport{
				DialContext: Dial((&net.Dialer{}).DialContext).Checked(),
			}
			defer below.CloseIdleConnections()
			transport := &Transport{
				RoundTripper: below,
			}
			reused := false
			get := func(path string) (string, error) {
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
					GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
				})
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				res, err := transport.RoundTrip(req)
				if err != nil {
					return "", err
				}
				defer res.Body.Close()
				text, err := io.ReadAll(res.Body)
				return string(text), err
			}
			for range 3 {
				if got, err := get("/"); got != "whole" || err != nil {
					t.Fatalf("%q, %v", got, err)
				}
			}
			if got, err := get("/bad"); err == nil || !reused {
				t.Errorf("%q, %v, reused %t", got, err, reused)
			}
			mu.Lock()
			defer mu.Unlock()
			if requests != 4 {
				t.Errorf("%d requests, want 4", requests)
			}
		})
	}
}
