package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingwall/platform/standin"
)

const (
	// program is the router's, as the deploy file builds it.
	program = "target/waxwingwall"

	// host is the host of all routes.
	host = "a.example"

	// Ports are taken from firstPort on; stages at the same time start portsPerStage from each other.
	firstPort     = 10_000
	portCount     = 10_000
	portsPerStage = 256

	// graceTime is GraceS of the sites.
	graceTime = 8 * time.Second

	// startTimeout limits the wait until the routers serve.
	startTimeout = 20 * time.Second

	// heartbeats is the time after which the store drops the entry of a replica that is silent: three
	// of its intervals.
	heartbeats = 3600 * time.Millisecond
)

// nextPort is the offset of the next port to try.
var nextPort atomic.Uint32

// stage is a small deployment with its record.
type stage struct {
	trouble bool
	dir     string
	began   time.Time
	store   *standin.Store
	routers []*router
	closers []func()
	closing sync.Once

	// mu guards the record.
	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

// newStage starts the store. The record goes to a folder.
func newStage(folder string, trouble bool) (*stage, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &stage{
		trouble: trouble,
		began:   time.Now(),
		store:   &standin.Store{},
		file:    file,
		text:    bufio.NewWriter(file),
	}
	if s.dir, err = os.MkdirTemp("", "stage"); err != nil {
		return nil, err
	}
	s.record("trouble: %t", trouble)
	return s, nil
}

// close ends all processes and removes the temporary folder, once.
func (s *stage) close() {
	s.closing.Do(s.end)
}

func (s *stage) end() {
	for _, r := range s.routers {
		r.kill()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	_ = os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.text.Flush()
	_ = s.file.Close()
}

// record writes a line with the time since the start.
func (s *stage) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.text, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler at a free loopback address until the stage is closed.
func (s *stage) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: h,
	}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// manifest is the operator's configuration.
type manifest struct {
	Version  int64
	Routes   []route
	Services []service
	Limits   limits
	Tenants  []tenant
}

type route struct {
	Name, Hostname, PathPrefix, RouteKind, Service string
	TimeoutMs, SloMs, Priority, MaxAttempts        int
	ItlTargetMs                                    int `json:",omitempty"`
	Public, Sticky, Resumable                      bool
}

type service struct {
	Name, HealthPath string
	MaxConns         int
	Engine           *engine `json:",omitempty"`
}

type engine struct {
	Slots, KvCapacity, Stride int
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

type tenant struct {
	Name    string
	APIKeys []string `json:"ApiKeys"`
	Prepaid int64    `json:",omitempty"`
}

// usualLimits are those of a small site.
var usualLimits = limits{
	MaxHeaderBytes:  16384,
	MaxBodyBytes:    4194304,
	HeaderTimeoutMs: 3000,
	IdleTimeoutMs:   15000,
}

// configure writes a manifest as the operator does.
func (s *stage) configure(m manifest) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	s.store.Put("op", "config", text)
	return nil
}

// router is a machine of the system, which runs one process after the other.
type router struct {
	name, callers, readiness, settings, log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// startRouters starts the machines of a small deployment and waits until all are ready.
func (s *stage) startRouters(n int) error {
	store, err := s.serve(s.store)
	if err != nil {
		return err
	}
	for i := range n {
		addresses, err := freeAddresses(6)
		if err != nil {
			return err
		}
		r := &router{
			name:      fmt.Sprintf("edge-%d", i+1),
			callers:   addresses[0],
			readiness: addresses[1],
		}
		r.settings = filepath.Join(s.dir, r.name+".ini")
		r.log = filepath.Join(s.dir, r.name+".log")
		text := fmt.Sprintf("[router]\nvm = %s\ndomain = zone-%d\n[listen]\ncallers = %s\nreadiness = %s\ndirectory = %s\npeers = %s\ntunnels = %s\nmetrics = %s\n"+
			"[store]\naddress = %s\n[limits]\nmemory_mb = 134\nlink_mbps = 1000\n"+
			"[bounds]\ngrace = 8s\nendpoint_drain = 2000ms\nretry_ratio = 0.2\nretry_reserve = 54\nretry_window = 10s\n[log]\nlevel = info\nformat = json\n",
			r.name, i%3+1, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], addresses[5], store)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	return s.startAll()
}

// startAll starts the processes of all machines at the same time and waits until they are ready.
func (s *stage) startAll() error {
	for _, r := range s.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range s.routers {
		if err := r.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the machine's process.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"WAXWINGWALL_CONFIG=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	r.cmd, r.done = cmd, done
	return nil
}

// kill kills the machine's process and waits until it has ended.
func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	select {
	case <-r.done:
	default:
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
		<-r.done
	}
}

// restart stops the machine's process as planned and starts the next one.
func (r *router) restart() error {
	r.mu.Lock()
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	done := r.done
	r.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTime):
		r.kill()
	}
	if err := r.start(); err != nil {
		return err
	}
	return r.waitReady()
}

// waitReady waits until the machine says that it is ready.
func (r *router) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if standin.Ready("http://" + r.readiness) {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", r.name)
}

// freeAddresses returns loopback addresses with free ports. They are below the range from which the
// kernel takes those of outgoing connections, so that none is taken while its process is down.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerStage+int(nextPort.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}
