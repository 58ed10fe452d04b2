// Package listener provides listeners that fail, for tests.
package listener

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// Errors are what an accept may fail with while its listener works on, some of which package net
// counts as temporary.
var Errors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ECONNABORTED,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EPROTO,
	syscall.EPERM,
}

// Failing returns a listener whose Accept first fails once with each of Errors.
func Failing(l net.Listener) net.Listener {
	return &failing{
		Listener: l,
	}
}

// failing is a listener of Failing.
type failing struct {
	net.Listener

	// mu guards failed, the number of failures so far.
	mu     sync.Mutex
	failed int
}

// Accept implements net.Listener.
func (l *failing) Accept() (net.Conn, error) {
	if err := l.next(); err != nil {
		return nil, &net.OpError{
			Op:   "accept",
			Net:  "tcp",
			Addr: l.Addr(),
			Err:  os.NewSyscallError("accept4", err),
		}
	}
	return l.Listener.Accept()
}

// next returns the next failure; nil if there is none left.
func (l *failing) next() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == len(Errors) {
		return nil
	}
	l.failed++
	return Errors[l.failed-1]
}
