package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"waxwingwall/io/engine"
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	contentOne  = `data: {"id":"cut","choices":[{"delta":{"content":"one"}}]}` + "\n\n"
	contentLast = `data: {"id":"cut","choices":[{"delta":{"content":"two"},"finish_reason":"stop"}]}` + "\n\n"
	aliveAnswer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// brittle is an engine that lives on and cuts the attempt "cut", or that goes down with it.
type brittle struct {
	listener net.Listener

	// text is what it answers; the last part of it comes after pause. end ends the connection.
	text  string
	pause time.Duration
	end   func(*brittle, *net.TCPConn)

	// mu guards the fields below.
	mu    sync.Mutex
	conns []net.Conn
}

func newBrittle(t *testing.T, text string, pause time.Duration, end func(*brittle, *net.TCPConn)) *brittle {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &brittle{
		listener: l,
		text:     text,
		pause:    pause,
		end:      end,
	}
	t.Cleanup(b.goDown)
	go b.serve()
	return b
}

func (b *brittle) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		go b.serveConn(c.(*net.TCPConn))
	}
}

// goDown closes the listener and all connections.
func (b *brittle) goDown() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

func (b *brittle) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		switch attempt := req.Header.Get("X-Request-Id"); attempt {
		case "cut":
			// A large body is still being written then.
			last := len(b.text) - 1
			_, _ = io.WriteString(c, b.text[:last])
			time.Sleep(b.pause)
			_, _ = io.WriteString(c, b.text[last:])
			b.end(b, c)
			return
		case "framed", "unframed":
			_, _ = io.Copy(io.Discard, req.Body)
			body := strings.ReplaceAll(contentLast, `"cut"`, `"`+attempt+`"`) + "data: [DONE]\n\n"
			if attempt == "unframed" {
				_, _ = io.WriteString(c, streamHead+"\r\n"+body)
				return
			}
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", streamHead, len(body), body)
		default:
			_, _ = io.WriteString(c, aliveAnswer)
		}
	}
}

// TestCutBesideLivingEngine guards against an attempt that is cut and looks whole: its engine resets the
// connection together with the last bytes and lives on, or closes its connections one after the other.
func TestCutBesideLivingEngine(t *testing.T) {
	const rounds = 2
	// Other tests measure the heap.
	t.Cleanup(debug.FreeOSMemory)
	ends := map[string]func(*brittle, *net.TCPConn){
		"reset": func(_ *brittle, c *net.TCPConn) { _ = c.SetLinger(0) },
		"reset while it reads": func(_ *brittle, c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 1<<20)
			_ = c.SetLinger(0)
		},
		"goes down": func(b *brittle, _ *net.TCPConn) { time.AfterFunc(20*time.Millisecond, b.goDown) },
	}
	texts := map[string]string{
		"stream":          streamHead + "\r\n" + contentOne,
		"last frame":      streamHead + "\r\n" + contentOne + contentLast,
		"part of the end": streamHead + "\r\n" + contentOne + contentLast + "data: [DON",
		"chunks":          streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(contentLast), contentLast),
		"failure":         "HTTP/1.1 500 Failed\r\n\r\noops",
		"not found":       "HTTP/1.1 404 Not Found\r\n\r\noops",
		"another status":  strings.Replace(streamHead, "200 OK", "201 Created", 1) + "\r\n" + contentLast + "data: [DONE]\n\n",
	}
	sizes := map[string]int{"small": 10, "large": 6 << 20}
	for end, f := range ends {
		for name, text := range texts {
			for size, n := range sizes {
				if end == "reset while it reads" && size == "small" {
					continue
				}
				t.Run(end+", "+name+", "+size, func(t *testing.T) {
					for _, before := range [][]string{nil, {"framed"}, {"unframed"}, {"unframed", "framed"}} {
						var calls sync.WaitGroup
						var whole atomic.Int32
						for i := range rounds {
							calls.Go(func() {
								b := newBrittle(t, text, time.Duration(i%2)*20*time.Millisecond, f)
								if callAfter(t, b, before, strings.Repeat("x", n)) == nil {
									whole.Add(1)
								}
							})
						}
						calls.Wait()
						if n := whole.Load(); n > 0 {
							t.Errorf("after %v: %d of %d look whole", before, n, rounds)
						}
					}
				})
			}
		}
	}
}

// callAfter makes other attempts at an engine and then the one that is cut, whose error it returns.
func callAfter(t *testing.T, b *brittle, before []string, prompt string) error {
	c, stop := engine.New()
	defer stop()
	call := engine.Call{
		Address: netip.MustParseAddrPort(b.listener.Addr().String()),
	}
	for _, call.Attempt = range before {
		if _, err := c.Stream(t.Context(), call, func(engine.Frame) error { return nil }); err != nil {
			t.Logf("%s: %v", call.Attempt, err)
		}
	}
	call.Attempt = "cut"
	call.Messages = []engine.Message{{
		Role:    "user",
		Content: prompt,
	}}
	_, err := c.Stream(t.Context(), call, func(engine.Frame) error { return nil })
	return err
}
