package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingwall/platform/standin"
)

// routerProgram is the program of the deploy file, run from the root of the repository.
const routerProgram = "target/waxwingwall"

// Ports are taken from below the range from which the system takes those of outgoing
// connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort is the last port that was tried.
var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

// listenLocal opens a listener on a free port of the loopback interface.
func listenLocal() net.Listener {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort)); err == nil {
			return l
		}
	}
	fail("no free port")
	return nil
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	l := listenLocal()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// storeFront is the way of one machine to the store. It can turn the machine away while
// the store serves the others.
type storeFront struct {
	store     *standin.Store
	addr      string
	rejecting atomic.Bool

	mu      sync.Mutex
	waiting map[*http.Request]chan struct{}
}

// newStoreFront serves the store for one machine.
func newStoreFront(store *standin.Store) *storeFront {
	f := &storeFront{
		store:   store,
		waiting: map[*http.Request]chan struct{}{},
	}
	l := listenLocal()
	f.addr = l.Addr().String()
	go func() { _ = http.Serve(l, f) }()
	return f
}

// ServeHTTP passes a call on, or answers 503: nothing was done.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.rejecting.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/rows-feed" {
		f.store.ServeHTTP(w, r)
		return
	}
	rejected := make(chan struct{})
	f.mu.Lock()
	f.waiting[r] = rejected
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waiting, r)
		f.mu.Unlock()
	}()
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		rec := httptest.NewRecorder()
		f.store.ServeHTTP(rec, r)
		done <- rec
	}()
	select {
	case <-rejected:
		w.WriteHeader(http.StatusServiceUnavailable)
	case rec := <-done:
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}
}

// reject turns the machine away from now on, also the calls that wait.
func (f *storeFront) reject() {
	f.rejecting.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for r, rejected := range f.waiting {
		close(rejected)
		delete(f.waiting, r)
	}
}

// serve serves the machine again.
func (f *storeFront) serve() {
	f.rejecting.Store(false)
}

// router is a machine with a router process.
type router struct {
	name    string
	callers string
	ready   string
	front   *storeFront
	config  string
	log     string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// fleet is a deployment: a store, servers and routers.
type fleet struct {
	dir     string
	store   *standin.Store
	routers []*router
}

// newFleet returns a deployment without machines.
func newFleet() *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	return &fleet{
		dir:   dir,
		store: &standin.Store{},
	}
}

// settings is deploy/edge.ini, filled in with the bounds of the site pan-heredia.
const settings = `[router]
vm = %s
domain = %s

[listen]
callers = %s
readiness = %s
directory = %s
peers = %s
tunnels = %s
metrics = %s

[store]
address = %s

[limits]
memory_mb = 284
link_mbps = 1000.0

[bounds]
grace = 8s
endpoint_drain = 2000ms
retry_ratio = 0.2
retry_reserve = 56
retry_window = 10s

[log]
level = info
format = json
`

// add adds a machine and starts its router.
func (f *fleet) add(name, zone string) *router {
	r := &router{
		name:    name,
		callers: freeAddr(),
		ready:   freeAddr(),
		front:   newStoreFront(f.store),
		config:  filepath.Join(f.dir, name+".ini"),
		log:     filepath.Join(f.dir, name+".log"),
	}
	text := fmt.Sprintf(settings, name, zone, r.callers, r.ready, freeAddr(), freeAddr(), freeAddr(), freeAddr(), r.front.addr)
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	f.routers = append(f.routers, r)
	r.start()
	return r
}

// start starts the process of the deploy file.
func (r *router) start() {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	r.cmd = exec.Command(routerProgram, "edge")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGWALL_CONFIG=" + r.config}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := r.cmd.Start(); err != nil {
		fail("start %s: %v", r.name, err)
	}
	ended := make(chan struct{})
	r.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}(r.cmd)
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	_ = r.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// isReady reports whether the router says that it is ready.
func (r *router) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all routers are ready; without that the case can't run.
func (f *fleet) waitReady() {
	for _, r := range f.routers {
		for end := time.Now().Add(10 * time.Second); !r.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				fail("%s is not ready", r.name)
			}
		}
	}
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// logged reports whether a router's log has a text.
func (r *router) logged(text string) bool {
	data, err := os.ReadFile(r.log)
	return err == nil && bytes.Contains(data, []byte(text))
}
