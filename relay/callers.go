package relay

import (
	"net"
	"net/http"
	"sync"
)

// callerConns are the open connections of callers. It is safe for concurrent use.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]callerConn
}

// callerConn is the state of a caller's connection.
type callerConn struct {
	state http.ConnState

	// requested is set once a request came.
	requested bool
}

// observe records the state of a connection; it is the http.Server.ConnState.
func (c *callerConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	s := c.states[conn]
	s.state = state
	c.states[conn] = s
}

// first reports whether it is called for the first time for an open connection.
func (c *callerConns) first(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[conn]
	if !ok || s.requested {
		return false
	}
	s.requested = true
	c.states[conn] = s
	return true
}

// count returns the number of connections with a request that is being read or answered,
// and of those without one.
func (c *callerConns) count() (busy, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.state == http.StateActive {
			busy++
		} else {
			unused++
		}
	}
	return busy, unused
}
