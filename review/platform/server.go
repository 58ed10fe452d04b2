package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	at     time.Time
	id     string
	tenant string
	server string
}

// runLog records the runs of all servers.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newRunLog() *runLog {
	return &runLog{
		runs: map[string][]run{},
	}
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

// of returns the runs of a client attempt.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// server is a sound replica. A plain one answers after its work time; a model replica
// streams events, the number of which the path names.
type server struct {
	id, service string
	work        time.Duration
	log         *runLog
	model       bool
	addr        string
}

// entry is the server's row in the store.
type entry struct {
	Service    string
	Address    string
	Zone       string
	Version    string
	Slots      int
	State      string
	ColdLeftMs int
	Sequence   int
}

// startServer starts a replica and registers it.
func (f *fleet) startServer(s *server, zone string, slots int) {
	l := listenLocal()
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	row, err := json.Marshal(entry{
		Service:  s.service,
		Address:  s.addr,
		Zone:     zone,
		Version:  "v1",
		Slots:    slots,
		State:    "ready",
		Sequence: 1,
	})
	if err != nil {
		fail("entry: %v", err)
	}
	f.store.Put("servers", s.id, row)
}

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}]}`))
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.log.add(run{
		at:     time.Now(),
		id:     id,
		tenant: r.Header.Get("X-Tenant"),
		server: s.id,
	})
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	if s.model {
		s.stream(w, r)
		return
	}
	time.Sleep(s.work)
	_, _ = w.Write([]byte("answer of " + s.id + " to " + id + "\n"))
}

// stream answers with as many events as the last part of the path says.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		n = 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := 1; i <= n; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.work):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %d\n\n", i, i, n)
		_ = flush.Flush()
	}
}
