package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// contactTime is how long after the beginning of a cut first tries count.
	contactTime = 3 * time.Second

	// countedTime is how long first tries are counted.
	countedTime = 1500 * time.Millisecond

	// cutRate is the number of requests a second at each router, cutTimeout what their
	// callers wait for an answer.
	cutRate    = 20
	cutTimeout = 2 * time.Second
)

// cutMode is what happens to the connections of a router that is cut off from endpoints.
type cutMode int

const (
	// cutRefused refuses new connections and resets those in use.
	cutRefused cutMode = iota

	// cutHangs leaves new connections without an answer; what is written to those in use
	// does not arrive.
	cutHangs

	// cutNew refuses new connections; those in use live on.
	cutNew
)

// cutLink carries the connections of one router to endpoints.
type cutLink struct {
	mode cutMode
	cut  atomic.Bool

	// mu guards conns, the connections in use.
	mu    sync.Mutex
	conns []net.Conn
}

// dial makes a connection to an endpoint unless the router is cut off.
func (l *cutLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.cut.Load() && l.mode == cutHangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l.cut.Load() {
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return &cutConn{
		TCPConn: c.(*net.TCPConn),
		link:    l,
	}, nil
}

// begin cuts the router off.
func (l *cutLink) begin() {
	l.cut.Store(true)
	if l.mode != cutRefused {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// cutConn is a connection over a cutLink.
type cutConn struct {
	*net.TCPConn
	link *cutLink
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.link.cut.Load() && c.link.mode == cutHangs {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// firstTries counts the first tries at some routers.
type firstTries struct {
	mu            sync.Mutex
	tried, served int
}

func (n *firstTries) add(served bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tried++
	if served {
		n.served++
	}
}

// TestCutFromEndpoints guards against routers that reach no endpoint and fail their callers,
// while other routers reach all of them.
func TestCutFromEndpoints(t *testing.T) {
	for name, mode := range map[string]cutMode{
		"refused":              cutRefused,
		"hanging":              cutHangs,
		"old connections live": cutNew,
	} {
		for _, cut := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of 3", name, cut), func(t *testing.T) {
				t.Parallel()
				playCut(t, mode, cut)
			})
		}
	}
}

// playCut cuts some of three routers off and checks how many first tries they serve.
func playCut(t *testing.T, mode cutMode, cut int) {
	f := newFleet(t, 0, testAccount)
	links := map[string]*cutLink{}
	f.options = func(vm string) []Option {
		links[vm] = &cutLink{
			mode: mode,
		}
		if len(links) > cut {
			return nil
		}
		return []Option{WithEndpointDial(links[vm].dial)}
	}
	for i := range 3 {
		f.start(fmt.Sprintf("vm-%d", i))
	}
	f.callRouters(time.Second, time.Second, func(int) *firstTries { return nil })
	for i := range cut {
		links[fmt.Sprintf("vm-%d", i)].begin()
	}
	var there, elsewhere firstTries
	f.callRouters(contactTime+countedTime, contactTime, func(router int) *firstTries {
		if router < cut {
			return &there
		}
		return &elsewhere
	})
	failed := there.tried - there.served
	t.Logf("served %d of %d, at the others %d of %d", there.served, there.tried, elsewhere.served, elsewhere.tried)
	share := func(n *firstTries) float64 { return float64(n.served) / float64(max(n.tried, 1)) }
	if share(&there) < share(&elsewhere)*2/3 || failed > 10+there.tried/50 {
		t.Errorf("served %d of %d first tries, at the others %d of %d", there.served, there.tried, elsewhere.served, elsewhere.tried)
	}
	for id, n := range f.orderRuns() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// callRouters sends requests of all routes to each router for a time, and counts those
// that are sent from a moment on.
func (f *fleet) callRouters(during, from time.Duration, count func(router int) *firstTries) {
	routes := []string{"order", "advice", "quote", "draft"}
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < during; i++ {
		for at, router := range f.relays {
			counted := time.Since(start) >= from
			route := routes[(i+at)%len(routes)]
			f.calls++
			id := fmt.Sprintf("%s-%d", route, f.calls)
			wg.Go(func() {
				prompt, output := 0, 0
				if route == "advice" || route == "draft" {
					prompt, output = 1_000, 50
				}
				a := f.callWithin(cutTimeout, router, id, "key", "/"+route+"/", "", prompt, output)
				if n := count(at); n != nil && counted {
					n.add(a.status == http.StatusOK && a.err == nil)
				}
			})
		}
		time.Sleep(time.Second / cutRate)
	}
	wg.Wait()
}

// orderRuns counts the runs of each order.
func (f *fleet) orderRuns() map[string]int {
	runs := map[string]int{}
	for _, e := range f.ledgers {
		for _, r := range e.Runs() {
			if r.Target == "/order/" {
				runs[r.Call]++
			}
		}
	}
	return runs
}

// TestDialEndedByRequest guards against a dial that counts as made, or as failed, although the
// request that it was for ended before it could tell.
func TestDialEndedByRequest(t *testing.T) {
	to := netip.MustParseAddrPort("127.0.0.1:1")
	for name, test := range map[string]struct {
		took      time.Duration
		err       error
		failed    bool
		abandoned bool
	}{
		"made":               {time.Millisecond, nil, false, false},
		"refused":            {time.Millisecond, syscall.ECONNREFUSED, true, false},
		"no answer":          {400 * time.Millisecond, context.DeadlineExceeded, true, false},
		"deadline":           {50 * time.Millisecond, context.DeadlineExceeded, false, true},
		"caller has left":    {50 * time.Millisecond, context.Canceled, false, true},
		"caller leaves late": {300 * time.Millisecond, context.Canceled, false, true},
	} {
		if ev := dialed(to, test.took, test.err); ev.Failed != test.failed || ev.Abandoned != test.abandoned {
			t.Errorf("%s: %+v", name, ev)
		}
	}
}
