package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/engine"
)

// TestEndlessAnswer guards against an engine that sends bytes without end that are no
// answer, in the head or the body: the stream ends as broken or timed out, and a
// bounded part is kept in memory.
func TestEndlessAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, test := range map[string]struct{ start, filler string }{
		"head":              {"", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"line":              {ok, "x"},
		"event":             {ok, "data: x\n"},
		"empty lines":       {ok, "\n"},
		"comments":          {ok, ": x\n\n"},
		"other attempts":    {ok, "data: {\"id\":\"2\"}\n\n"},
		"body of a failure": {"HTTP/1.1 500 Oops\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := io.WriteString(c, test.start); err != nil {
					return
				}
				for block := strings.Repeat(test.filler, 1<<10); err == nil; {
					_, err = io.WriteString(c, block)
				}
			}()
			stop, peak := make(chan struct{}), make(chan uint64)
			go samplePeak(stop, peak)
			c, closeClient := engine.New(engine.WithFirstTimeout(time.Second), engine.WithIdleTimeout(time.Second))
			defer closeClient()
			_, err = c.Stream(context.Background(), engine.Call{
				Address: netip.MustParseAddrPort(l.Addr().String()),
				Attempt: "1",
			}, func(engine.Frame) error { return nil })
			close(stop)
			var failed *endpoint.Error
			if !errors.As(err, &failed) || failed.Failure != endpoint.Broken && failed.Failure != endpoint.IdleTimeout {
				t.Errorf("got %v, want a broken answer or a timeout", err)
			}
			if got := <-peak; got > 64<<20 {
				t.Errorf("%d bytes in memory", got)
			}
		})
	}
}

// samplePeak sends the peak of the memory in use once stop is closed.
func samplePeak(stop chan struct{}, peak chan uint64) {
	var highest uint64
	for {
		select {
		case <-stop:
			peak <- highest
			return
		case <-time.After(20 * time.Millisecond):
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapInuse)
		}
	}
}
