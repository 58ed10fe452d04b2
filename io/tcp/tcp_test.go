package tcp

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestRepeated: a lost attempt is replaced by another one, a late reply to the first
// one counts, and the connections of other attempts are closed.
func TestRepeated(t *testing.T) {
	const (
		never = time.Hour
		limit = 3900 * time.Millisecond
	)
	for name, test := range map[string]struct {
		replies []time.Duration
		want    time.Duration
	}{
		"at once":        {[]time.Duration{time.Millisecond}, time.Millisecond},
		"lost":           {[]time.Duration{never, time.Millisecond}, DialTimeout + time.Millisecond},
		"late":           {[]time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 900 * time.Millisecond},
		"none in time":   {[]time.Duration{never, never, never, never}, limit},
		"late and later": {[]time.Duration{3700 * time.Millisecond, never, never, never}, 3700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts, open atomic.Int32
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					reply := test.replies[attempts.Add(1)-1]
					select {
					case <-time.After(reply):
						open.Add(1)
						near, _ := net.Pipe()
						return &countedConn{
							Conn: near,
							open: &open,
						}, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				began := time.Now()
				conn, err := Repeated(dial, limit)(t.Context(), "tcp", "")
				if took := time.Since(began); took != test.want {
					t.Errorf("took %v, want %v", took, test.want)
				}
				if failed := errors.Is(err, context.DeadlineExceeded); failed != (conn == nil) || failed != (name == "none in time") {
					t.Errorf("connection %v, error %v", conn, err)
				}
				time.Sleep(3 * time.Second)
				if conn != nil {
					_ = conn.Close()
				}
				if n := open.Load(); n != 0 {
					t.Errorf("%d connections left open", n)
				}
			})
		})
	}
}

// countedConn decrements open when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int32
}

func (c *countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}
