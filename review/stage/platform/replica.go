package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventTime is the time between two events of a stream, workTime that of a plain request.
	eventTime = 10 * time.Millisecond
	workTime  = 20 * time.Millisecond

	// eventTokens is the number of tokens of an event.
	eventTokens = 5

	// crashTime is how long a replica that has crashed is away.
	crashTime = 2 * time.Second
)

// replica is a replica of a service.
type replica struct {
	stage   *stage
	service string
	address string
	slots   int

	// crashes reports whether a request crashes the replica as it begins to run. loses reports
	// whether the answer of a request that it has run is lost. onArrival is called with each
	// request; all may be nil.
	crashes   func(r *http.Request) bool
	loses     func(r *http.Request) bool
	onArrival func(id string, at *replica)

	// mu guards the fields below. id and born name the incarnation.
	mu     sync.Mutex
	id     string
	born   int64
	server *http.Server
	down   bool
	ended  bool
}

// incarnations counts the starts of replicas.
var incarnations atomic.Int64

// addReplica starts a replica and registers it.
func (s *stage) addReplica(r *replica) error {
	r.stage = s
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	r.address = addresses[0]
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, r.end)
	r.begin(l)
	return nil
}

// begin begins an incarnation.
func (r *replica) begin(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = fmt.Sprintf("i-%06d", incarnations.Add(1))
	r.born = time.Now().UnixMilli()
	r.down = false
	r.server = &http.Server{
		Handler: r,
	}
	go func(server *http.Server) { _ = server.Serve(l) }(r.server)
	entry, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.address, "Zone": "zone-1", "Version": "v1", "Slots": r.slots,
		"State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.stage.store.Put("servers", r.id, entry)
}

// crash ends the incarnation, once, with all that it runs; the next one begins some seconds later at the
// same address. The store drops the entry of the old one after three intervals of silence.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	id := r.id
	server := r.server
	go func() { _ = server.Close() }()
	time.AfterFunc(heartbeats, func() { r.stage.store.Delete("servers", id) })
	time.AfterFunc(crashTime, func() {
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.stage.record("replica at %s doesn't come back: %v", r.address, err)
			return
		}
		r.begin(l)
	})
}

// end ends the replica for good.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.server.Close()
}

// name returns the incarnation's ID and the time of its start.
func (r *replica) name() (id string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.born
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id, born := r.name()
	w.Header().Set("X-Instance-Id", id)
	if req.Method == http.MethodGet && req.URL.Path == "/report" {
		fmt.Fprintf(w, `{"Stage":"unified","State":"ready","Busy":false,"born":%d}`, born)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.onArrival != nil {
		r.onArrival(attempt, r)
	}
	if r.crashes != nil && r.crashes(req) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", "seal."+id)
	if tokens := req.Header.Get("X-Token-Count"); tokens != "" {
		r.stream(w, tokens, req)
		return
	}
	time.Sleep(workTime)
	if r.loses != nil && r.loses(req) {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "done %s", attempt)
}

// stream sends the events of a generation.
func (r *replica) stream(w http.ResponseWriter, tokens string, req *http.Request) {
	var prompt, output int
	if _, err := fmt.Sscanf(tokens, "%d,%d", &prompt, &output); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := from + 1; i <= output/eventTokens; i++ {
		select {
		case <-time.After(eventTime):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if flusher.Flush() != nil {
			return
		}
	}
}
