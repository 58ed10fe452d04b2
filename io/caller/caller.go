// Package caller serves the HTTP API for callers.
//
// The API is defined in api/caller.yaml. The generated server decodes and
// validates requests; this package maps them to a waxwingwall.CallerAPI. A
// stream is written through a pipe and flushed after every write, so that no
// token is delayed until the next one.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/api/callerapi"
	"waxwingwall/io/quota"
	"waxwingwall/io/tcp"
)

const (
	// maxBodyBytes limits the size of a request body, maxReadBytes that of all bodies that
	// arrive.
	maxBodyBytes = 8 << 20
	maxReadBytes = 32 << 20

	// busyRetryAfter is the retry delay for callers while no memory for a body is free.
	busyRetryAfter = 500 * time.Millisecond
)

// Option configures the handler for callers.
type Option func(*handler)

// WithLog sets the logger.
func WithLog(l *logrus.Entry) Option {
	return func(h *handler) {
		h.log = l
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Observe lets a server tell the handler the connections of its requests. Without it, an answer
// that breaks off may look whole to callers of HTTP/1.0. It returns a function that closes the
// server at once; one that is closed otherwise tells callers of HTTP/1.0 over TLS that nothing is
// missing from the answers that are in progress.
func Observe(s *http.Server) (stop func() error) {
	open := &openAnswers{
		conns: map[net.Conn]bool{},
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &observedConn{
			Conn: c,
			open: open,
		})
	}
	return func() error {
		open.reset()
		return s.Close()
	}
}

// observedConn is a connection of a server that is observed.
type observedConn struct {
	net.Conn
	open *openAnswers
}

// begin makes the end of the connection a reset until the answer has ended.
func (c *observedConn) begin() {
	tcp.ResetAtEnd(c.Conn)
	c.open.add(c.Conn)
}

// end lets the connection end in order.
func (c *observedConn) end() {
	c.open.remove(c.Conn)
	tcp.EndInOrder(c.Conn)
}

// openAnswers are the connections whose end tells that of an answer which has begun. It is safe
// for concurrent use.
type openAnswers struct {
	mu      sync.Mutex
	conns   map[net.Conn]bool
	stopped bool
}

func (o *openAnswers) add(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		tcp.Reset(c)
		return
	}
	o.conns[c] = true
}

func (o *openAnswers) remove(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// reset resets the connections, and those that are still to come.
func (o *openAnswers) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	for c := range o.conns {
		tcp.Reset(c)
	}
}

// New returns the handler for callers. A request whose body is not complete
// within the BodyTimeout of api is rejected.
func New(api waxwingwall.CallerAPI, opts ...Option) (http.Handler, error) {
	h := &handler{
		api: api,
		log: logrus.NewEntry(logrus.StandardLogger()),
	}
	for _, o := range opts {
		o(h)
	}
	bodies := quota.New(maxReadBytes)
	server, err := callerapi.NewServer(h, h, callerapi.WithErrorHandler(writeError))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flusher{ResponseWriter: w}
		held, done := bodies.Open()
		defer done()
		if conn, ok := r.Context().Value(connKey{}).(*observedConn); ok && !r.ProtoAtLeast(1, 1) {
			f.conn = conn
			defer conn.open.remove(conn.Conn)
		}
		h.serve(server, f, r, held)
		f.end()
	}), nil
}

// serve answers a request, whose body takes room of a holding. It returns normally only if the
// whole answer was written or the write of it failed.
func (h *handler) serve(server http.Handler, f *flusher, r *http.Request, held *quota.Holding) {
	defer h.answerPanic(r.Context(), f, r)
	server.ServeHTTP(f, limitBody(f.ResponseWriter, r, held, h.api.BodyTimeout()))
}

// answerPanic answers a request whose handler panicked. If its answer had begun, it closes
// the connection, so that the answer does not look whole.
func (h *handler) answerPanic(ctx context.Context, f *flusher, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		h.logPanic(v)
	}
	if v == http.ErrAbortHandler || f.begun {
		f.abort()
	}
	writeError(ctx, f, r, internalProblem())
}

// logPanic logs a panic of a goroutine that serves a caller.
func (h *handler) logPanic(v any) {
	h.log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("handler_panicked")
}

// limitBody returns a request whose body is limited in size and in the time that it may
// take to arrive. Without a body the server waits for the caller to leave, and a deadline
// would look like that. The server's own request keeps its body: by that it knows whether the
// rest of one is still on the connection.
func limitBody(w http.ResponseWriter, r *http.Request, held *quota.Holding, timeout time.Duration) *http.Request {
	if r.Body == http.NoBody {
		return r
	}
	limited := r.WithContext(r.Context())
	limited.Body = &heldBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, maxBodyBytes),
		held:       held,
	}
	if timeout > 0 {
		// The server removes the deadline from the connection once the body is read.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	}
	return limited
}

// heldBody is a body whose reader keeps all of it.
type heldBody struct {
	io.ReadCloser
	held *quota.Holding
	size int
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += n
	if !b.held.Set(b.size) {
		return 0, quota.ErrFull
	}
	return n, err
}

// flusher flushes after each write. It hides ReadFrom, so that io.Copy does not
// buffer.
type flusher struct {
	http.ResponseWriter

	// begun is set once the answer has begun, failed once a part could not be written.
	begun, failed bool

	// conn is the connection if its end tells that of the answer; nil otherwise. It is reset
	// unless the whole answer was written.
	conn *observedConn
}

// begin begins the answer.
func (f *flusher) begin() {
	if !f.begun && f.conn != nil {
		f.conn.begin()
	}
	f.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (f *flusher) WriteHeader(status int) {
	f.begin()
	f.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (f *flusher) Write(p []byte) (int, error) {
	f.begin()
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	f.failed = f.failed || err != nil
	return n, err
}

// end ends the answer, or closes the connection if a part of the answer is missing.
func (f *flusher) end() {
	if f.failed {
		f.abort()
	}
	if f.conn != nil {
		f.conn.end()
	}
}

// abort closes the connection, so that the answer does not look whole.
func (f *flusher) abort() {
	if f.conn != nil {
		tcp.Reset(f.conn.Conn)
	}
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the connection.
func (f *flusher) Unwrap() http.ResponseWriter {
	return f.ResponseWriter
}

type accountKey struct{}

type handler struct {
	api waxwingwall.CallerAPI
	log *logrus.Entry
}

// HandleBearer implements callerapi.SecurityHandler.
func (h *handler) HandleBearer(ctx context.Context, _ callerapi.OperationName, t callerapi.Bearer) (context.Context, error) {
	account, err := h.api.Account(t.Token)
	if err != nil {
		return ctx, err
	}
	return context.WithValue(ctx, accountKey{}, account), nil
}

// accountOf returns the client account that HandleBearer authenticated.
func accountOf(ctx context.Context) waxwingwall.Account {
	account, _ := ctx.Value(accountKey{}).(waxwingwall.Account)
	return account
}

// CreateCompletion implements callerapi.Handler.
func (h *handler) CreateCompletion(ctx context.Context, req *callerapi.CompletionRequest, p callerapi.CreateCompletionParams) (callerapi.CreateCompletionRes, error) {
	request := waxwingwall.CallerRequest{
		Key:       p.IdempotencyKey.Value,
		Rank:      p.WaxwingRank.Value,
		Budget:    p.WaxwingBudget.Value,
		Model:     waxwingwall.Model(req.Model),
		MaxOutput: waxwingwall.Tokens(req.MaxTokens.Value),
	}
	for _, m := range req.Messages {
		request.Messages = append(request.Messages, waxwingwall.Message{
			Role:    string(m.Role),
			Content: m.Content,
		})
	}
	answer, err := h.api.Serve(ctx, accountOf(ctx), request)
	if err != nil {
		return nil, err
	}
	if req.Stream.Value {
		return h.streamResponse(ctx, answer, req.Model)
	}
	return bufferedResponse(ctx, answer, req.Model)
}

// CallService implements callerapi.Handler.
func (h *handler) CallService(ctx context.Context, req *callerapi.ServiceRequest, p callerapi.CallServiceParams) (*callerapi.ServiceAnswerHeaders, error) {
	answer, err := h.api.Serve(ctx, accountOf(ctx), waxwingwall.CallerRequest{
		Key:     p.IdempotencyKey.Value,
		Rank:    p.WaxwingRank.Value,
		Budget:  p.WaxwingBudget.Value,
		Service: true,
		Model:   waxwingwall.Model(p.Service),
		Body:    req.Body,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	_, end, err := collect(ctx, answer)
	if err != nil {
		return nil, err
	}
	return &callerapi.ServiceAnswerHeaders{
		WaxwingRequest: answer.ID(),
		Response: callerapi.ServiceAnswer{
			ID:   answer.ID(),
			Body: end.Body,
		},
	}, nil
}

// GetRequest implements callerapi.Handler.
func (h *handler) GetRequest(ctx context.Context, p callerapi.GetRequestParams) (*callerapi.RequestStatus, error) {
	s, err := h.api.RequestStatus(ctx, accountOf(ctx), p.Key)
	if err != nil {
		return nil, err
	}
	if !s.Known {
		return nil, &waxwingwall.Problem{
			Status:  http.StatusNotFound,
			Code:    "unknown_request",
			Message: "no request of this account has this key, or it is no longer kept",
			Outcome: waxwingwall.Unknown,
		}
	}
	return &callerapi.RequestStatus{
		Key:    p.Key,
		State:  callerapi.RequestStatusState(s.Outcome),
		Tokens: callerapi.NewOptInt64(int64(s.Tokens)),
	}, nil
}

// ListAddresses implements callerapi.Handler.
func (h *handler) ListAddresses(ctx context.Context) (*callerapi.Addresses, error) {
	a := h.api.Addresses(accountOf(ctx))
	out := &callerapi.Addresses{
		Addresses:  []callerapi.Address{},
		LifetimeMs: a.Lifetime.Milliseconds(),
	}
	for _, one := range a.Addresses {
		out.Addresses = append(out.Addresses, callerapi.Address{
			Address: one.Address,
			Domain:  string(one.Domain),
		})
	}
	return out, nil
}

// NewError implements callerapi.Handler.
func (h *handler) NewError(_ context.Context, err error) *callerapi.ProblemStatusCodeWithHeaders {
	return encode(problemOf(err))
}

// problemOf returns the problem to report to the caller for an error.
func problemOf(err error) *waxwingwall.Problem {
	var p *waxwingwall.Problem
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		return &waxwingwall.Problem{
			Status:  http.StatusUnauthorized,
			Code:    "missing_key",
			Message: "a bearer key is needed",
			Outcome: waxwingwall.NotRun,
		}
	}
	return internalProblem()
}

// internalProblem returns the problem of a request on which the router failed.
func internalProblem() *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  http.StatusInternalServerError,
		Code:    "internal",
		Message: "the router failed on this request",
		Outcome: waxwingwall.Unknown,
	}
}

// encode converts a problem to the response type of the generated API.
func encode(p *waxwingwall.Problem) *callerapi.ProblemStatusCodeWithHeaders {
	out := &callerapi.ProblemStatusCodeWithHeaders{
		StatusCode: p.Status,
		Response: callerapi.Problem{
			Code:    p.Code,
			Message: p.Message,
			Outcome: callerapi.ProblemOutcome(p.Outcome),
		},
	}
	if p.RetryAfter > 0 {
		seconds := int((p.RetryAfter + time.Second - 1) / time.Second)
		out.RetryAfter = callerapi.NewOptInt(seconds)
		out.Response.RetryAfterMs = callerapi.NewOptInt64(p.RetryAfter.Milliseconds())
	}
	return out
}
