// Package child runs servers of tests in processes of their own, which can be killed. Such a
// process is the test binary, started again.
package child

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// AnyPort is the address of a server that listens on a free port of the loopback interface.
const AnyPort = "127.0.0.1:0"

// mark is the first argument of child processes. Their server's name and address follow.
const mark = "child"

// isChild reports whether this is a child process.
func isChild() bool {
	return len(os.Args) == 4 && os.Args[1] == mark
}

// Main returns at once unless this is a child process; TestMain calls it first. In a child it
// runs the server of the child's name with a listener, and the process ends when that returns.
// A server writes the listener's address to its standard output once it is ready, and lives
// until the end of its standard input.
func Main(servers map[string]func(net.Listener)) {
	if !isChild() {
		return
	}
	l, err := net.Listen("tcp", os.Args[3])
	if err != nil {
		panic(err)
	}
	servers[os.Args[2]](l)
	os.Exit(0)
}

// Process is a child process.
type Process struct {
	t    testing.TB
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
	wait func()

	// Addr is the address of its server.
	Addr netip.AddrPort
}

// Start starts the server of a name, listening on an address; it gets the given lines, if any,
// on its standard input. Start returns when the server is ready. The end of the test kills it.
func Start(t testing.TB, server, address string, lines ...string) *Process {
	t.Helper()
	if isChild() {
		t.Fatal("TestMain doesn't call child.Main")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{
		t:   t,
		cmd: exec.Command(program, mark, server, address),
	}
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.out = bufio.NewReader(out)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.wait = sync.OnceFunc(func() { _ = p.cmd.Wait() })
	t.Cleanup(func() {
		p.Stop()
		_ = p.cmd.Process.Kill()
		p.wait()
	})
	for _, line := range lines {
		p.Send(line)
	}
	if p.Addr, err = netip.ParseAddrPort(p.Line()); err != nil {
		t.Fatal(err)
	}
	return p
}

// Send writes a line to the standard input of the process.
func (p *Process) Send(line string) {
	p.t.Helper()
	if _, err := io.WriteString(p.in, line+"\n"); err != nil {
		p.t.Error(err)
	}
}

// Line awaits the next line that the process writes.
func (p *Process) Line() string {
	p.t.Helper()
	line, err := p.out.ReadString('\n')
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}

// Kill ends the process without any chance to say so, and returns when it has ended.
func (p *Process) Kill() {
	p.t.Helper()
	p.Signal(syscall.SIGKILL)
	p.wait()
}

// Stop ends the standard input of the process, and so lets it end in order.
func (p *Process) Stop() {
	_ = p.in.Close()
}
