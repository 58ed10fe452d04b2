package sim

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Headers that the endpoints read.
const (
	// HeaderAttempt is the ID of the attempt, repeated as the id of every chunk.
	HeaderAttempt = "X-Request-Id"

	// HeaderIdentity identifies the request in the audit.
	HeaderIdentity = "X-Identity"

	// HeaderPriority is the priority in the queue; lower numbers go first.
	HeaderPriority = "X-Priority"
)

// maxBodyBytes is the maximum length of a request body.
const maxBodyBytes = 4 << 20

// Poison is a text that, if contained in a prompt, crashes the engine that runs
// it.
const Poison = "poison=1"

// EngineConfig configures a model engine. Defaults replace zero values of Batch,
// Queue, CacheBlocks and the durations.
type EngineConfig struct {
	// Name identifies the endpoint in the audit and as the target of faults.
	Name string

	// Address is the listen address; a free loopback port if unset.
	Address netip.AddrPort

	// Models are the models loaded at the start, which orders then change; if
	// empty, every model is served.
	Models []string

	// Batch is the maximum number of concurrent streams.
	Batch int

	// Queue is the maximum number of waiting streams.
	Queue int

	// TokenTime is the time between tokens of a stream in an otherwise empty batch.
	// It increases linearly with the number of streams, to twice the value in a
	// full batch.
	TokenTime time.Duration

	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration

	// CacheBlocks is the capacity of the prefix cache, in prompt blocks of
	// cacheBlockBytes.
	CacheBlocks int

	// LoadLag is the time between load samples and the minimum age of load reports.
	LoadLag time.Duration

	// Restart is how long a crashed engine is down.
	Restart time.Duration

	// ChecksFence makes the engine reject orders with an outdated fencing number.
	ChecksFence bool
}

func (c EngineConfig) withDefaults() EngineConfig {
	set := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	set(&c.TokenTime, 2*time.Millisecond)
	set(&c.PrefillTime, 20*time.Microsecond)
	set(&c.LoadLag, 200*time.Millisecond)
	set(&c.Restart, 500*time.Millisecond)
	if c.Batch == 0 {
		c.Batch = 16
	}
	if c.Queue == 0 {
		c.Queue = 64
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 4096
	}
	return c
}

// Engine is a stand-in for a model engine.
type Engine struct {
	EngineConfig
	server *faultServer
	audit  *Audit

	mu            sync.Mutex
	crashes       int
	batch         batch
	cache         prefixCache
	loadedModels  []string
	role          string
	fence         int64 // highest fencing number of the orders carried out
	slowdown      float64
	foreignChunks int // chunks with the ID of another attempt that remain to be sent
	tokens        int // generated since the last load sample
	load          [2]LoadReport
}

// LoadReport is a load sample of an engine, reported with a delay of at least
// LoadLag.
type LoadReport struct {
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Models          []string  `json:"models"`
	Role            string    `json:"role"`
	At              time.Time `json:"at"`
}

// EngineOrder is an order to an engine: to load or unload a model, or to change
// its role.
type EngineOrder struct {
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	Fence int64  `json:"fence"`
}

func newEngine(w *World, c EngineConfig) (*Engine, error) {
	c = c.withDefaults()
	e := &Engine{
		EngineConfig: c,
		audit:        w.Audit,
		loadedModels: slices.Clone(c.Models),
		role:         "decode",
		slowdown:     1,
		batch: batch{
			size:  c.Batch,
			queue: c.Queue,
		},
		cache: prefixCache{
			limit: c.CacheBlocks,
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/load", e.reportLoad)
	var err error
	if e.server, err = w.listen(c.Name, c.Address, mux); err != nil {
		return nil, trace.Wrap(err)
	}
	go e.sampleLoad(w.done)
	return e, nil
}

// ListenAddress returns the address on which the engine listens.
func (e *Engine) ListenAddress() netip.AddrPort {
	return e.server.address()
}

// sampleLoad samples the load every LoadLag. The sample before the last is the one
// reported.
func (e *Engine) sampleLoad(done <-chan struct{}) {
	t := time.NewTicker(e.LoadLag)
	defer t.Stop()
	for {
		e.mu.Lock()
		e.load[0] = e.load[1]
		e.load[1] = LoadReport{
			Running:         e.batch.running,
			Waiting:         len(e.batch.waiting),
			TokensPerSecond: float64(e.tokens) / e.LoadLag.Seconds(),
			Models:          slices.Clone(e.loadedModels),
			Role:            e.role,
			At:              time.Now(),
		}
		e.tokens = 0
		e.mu.Unlock()
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load[0]
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.fence {
		writeError(w, http.StatusConflict, "fencing number "+strconv.FormatInt(e.fence, 10)+" seen")
		return
	}
	if !e.apply(o) {
		writeError(w, http.StatusBadRequest, "unknown order "+o.Kind)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.audit.update(func(r *Report) {
		r.Orders = append(r.Orders, Order{
			Endpoint: e.Name,
			Kind:     o.Kind,
			Model:    o.Model,
			Role:     o.Role,
			Fence:    o.Fence,
		})
	})
	writeJSON(w, o)
}

// apply applies an order; it returns false if its kind is unknown.
func (e *Engine) apply(o EngineOrder) bool {
	switch o.Kind {
	case "load":
		if !slices.Contains(e.loadedModels, o.Model) {
			e.loadedModels = append(e.loadedModels, o.Model)
		}
	case "unload":
		e.loadedModels = slices.DeleteFunc(e.loadedModels, func(m string) bool { return m == o.Model })
	case "role":
		e.role = o.Role
	default:
		return false
	}
	return true
}

// chat serves one attempt.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(request.Model) {
		writeError(w, http.StatusNotFound, "model "+request.Model+" is not loaded")
		return
	}
	prompt := Prompt(request.Messages)
	run := &Run{
		Attempt:      r.Header.Get(HeaderAttempt),
		Identity:     r.Header.Get(HeaderIdentity),
		Endpoint:     e.Name,
		Prompt:       promptDigest(prompt),
		PromptTokens: PromptTokens(request.Messages),
		ContinueFrom: request.ContinueFrom,
		State:        Queued,
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	e.mu.Lock()
	entry, ok := e.batch.add(priority)
	crashes := e.crashes
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusTooManyRequests, "the queue is full")
		return
	}
	e.audit.addRun(run)
	defer e.release(entry)
	select {
	case <-entry.admitted:
	case <-r.Context().Done():
		e.audit.setState(run, e.interruptedState(crashes))
		return
	}
	e.audit.setState(run, Begun)
	if strings.Contains(prompt, Poison) {
		e.audit.setState(run, Crashed)
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if !e.prefill(r.Context(), prompt) || !e.generate(r.Context(), w, request, prompt, run) {
		e.audit.setState(run, e.interruptedState(crashes))
		return
	}
	e.audit.setState(run, Finished)
}

// interruptedState returns the final state of a run that did not finish: Crashed
// if the engine has crashed more than the given number of times, else Cancelled.
func (e *Engine) interruptedState(crashes int) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes != crashes {
		return Crashed
	}
	return Cancelled
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Models) == 0 || slices.Contains(e.loadedModels, model)
}

func (e *Engine) release(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(en)
}

// Crash resets all connections and empties the cache. The engine listens again
// after Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crashes++
	e.cache = prefixCache{
		limit: e.CacheBlocks,
	}
	e.mu.Unlock()
	e.server.crash(e.Restart)
}

func (e *Engine) prefill(ctx context.Context, prompt string) bool {
	e.mu.Lock()
	uncached := len(prompt) - e.cache.touch(prompt)
	d := time.Duration(float64(uncached) / bytesPerToken * e.slowdown * float64(e.PrefillTime))
	e.mu.Unlock()
	return sleep(ctx, d)
}

// tokenInterval returns the time to the next token, which increases with the
// number of running streams.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(e.batch.running) / float64(e.Batch)
	return time.Duration(e.slowdown * (1 + fill) * float64(e.TokenTime))
}

// generate writes the answer and reports whether it completed.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, request ChatRequest, prompt string, run *Run) bool {
	out := newChatWriter(w, request, run)
	limit := AnswerTokens(prompt)
	reason := "stop"
	if request.MaxTokens > 0 && request.MaxTokens < limit {
		limit = request.MaxTokens
		reason = "length"
	}
	for i := request.ContinueFrom; i < limit; i++ {
		if !sleep(ctx, e.tokenInterval()) && !isSilent(ctx) {
			return false
		}
		e.mu.Lock()
		e.tokens++
		foreign := e.foreignChunks > 0
		if foreign {
			e.foreignChunks--
		}
		e.mu.Unlock()
		e.audit.addToken(run)
		if foreign {
			out.writeForeignChunk(i)
		}
		out.writeToken(Token(prompt, i))
	}
	out.finish(reason)
	return true
}

// isSilent reports whether the connection is silent. generate does not stop
// when the router closes such a connection.
func isSilent(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.silent.Load()
}
