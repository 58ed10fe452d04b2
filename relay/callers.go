package relay

import (
	"net"
	"net/http"
	"sync"
)

// callerConns are the open connections of callers. It is safe for concurrent use.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// observe records the state of a connection; it is the http.Server.ConnState.
func (c *callerConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of connections with a request that is being read or answered,
// and of those without one.
func (c *callerConns) count() (busy, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateActive {
			busy++
		} else {
			unused++
		}
	}
	return busy, unused
}
