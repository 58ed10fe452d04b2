package tcp

import (
	"crypto/tls"
	"net"
)

const (
	// lingerReset makes the end of a connection a reset, lingerDefault an orderly one, in
	// seconds.
	lingerReset   = 0
	lingerDefault = -1
)

// ResetAtEnd makes the end of a connection a reset, however it comes about, until EndInOrder
// undoes it. So an answer whose end is that of its connection does not look whole before it
// is. A close of a connection of TLS still tells that nothing is missing, see Reset. It reports whether it could; it can't if the peer has disconnected.
func ResetAtEnd(conn net.Conn) bool {
	return setLinger(conn, lingerReset)
}

// EndInOrder undoes ResetAtEnd and reports whether it could.
func EndInOrder(conn net.Conn) bool {
	return setLinger(conn, lingerDefault)
}

// Reset closes a connection with a reset, without the notice by which TLS tells that nothing is
// missing.
func Reset(conn net.Conn) {
	ResetAtEnd(conn)
	_ = below(conn).Close()
}

// below returns the connection that carries a connection of TLS, or any other one itself.
func below(conn net.Conn) net.Conn {
	if t, ok := conn.(*tls.Conn); ok {
		return t.NetConn()
	}
	return conn
}

func setLinger(conn net.Conn, seconds int) bool {
	l, ok := below(conn).(interface{ SetLinger(seconds int) error })
	return ok && l.SetLinger(seconds) == nil
}
