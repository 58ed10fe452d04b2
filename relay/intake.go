package relay

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingwall"
	"waxwingwall/core/intake"
	"waxwingwall/io/tcp"
)

const (
	// On links of up to maxWindowMbps a caller may send no more than headWindowBytes before it
	// is read, until its request is accepted: the bytes of the store and the peers queue behind
	// it. The window has room for a head. What fits in with it passes the link even if the
	// request is refused, and as much again once the head is read.
	headWindowBytes = 2 << 10
	maxWindowMbps   = 50

	// bodyWindowBytes is the window of accepted callers. Their bytes are limited together, and a
	// body that takes a round trip for each part of it is late on a busy link.
	bodyWindowBytes = 64 << 10

	// codeLinkFull is the code of the answer to a request that the link has no room for.
	codeLinkFull = "link_full"
)

// callerWindow returns how many bytes a caller may send before they are read, until its request
// is accepted; 0 if the kernel chooses.
func callerWindow(mbps int) int {
	if mbps <= 0 || mbps > maxWindowMbps {
		return 0
	}
	return headWindowBytes
}

// link is the Limiter of the VM's link. It is safe for concurrent use.
type link struct {
	mu      sync.Mutex
	limiter *intake.Limiter

	// window is the window of callers that are not accepted; 0 if the kernel chooses.
	window int

	// observedAt is the time of the newest measurement that the Limiter knows.
	observedAt time.Time
}

// newLink returns the link of a VM with a speed in Mbit/s, zero if it is unknown.
func newLink(mbps int) link {
	window := callerWindow(mbps)
	return link{
		limiter: intake.New(mbps, 2*int64(cmp.Or(window, bodyWindowBytes))),
		window:  window,
	}
}

// accept decides on a request.
func (l *link) accept(r intake.Request) intake.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Accept(time.Now(), r)
}

// add records bytes that pass the link in any case.
func (l *link) add(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Add(time.Now(), bytes)
}

// observe passes on a delay that was measured at a time. On links for which the kernel chooses the
// windows it rather tells of a busy processor.
func (l *link) observe(now time.Time, delay time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.window == 0 || delay == 0 || !at.After(l.observedAt) {
		return
	}
	l.observedAt = at
	l.limiter.Observe(now, delay)
}

// load returns intake.Limiter.Load.
func (l *link) load() (asked float64, top waxwingwall.Account, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Load(time.Now())
}

// admitBody decides by the head of a request whether its body is read. It returns the answer if
// it isn't.
func (r *Relay) admitBody(p *proxyRequest) *waxwingwall.Problem {
	body := max(p.r.ContentLength, 0)
	terms := r.sharedState.Load().routing.Terms(&p.call)
	v := r.link.accept(intake.Request{
		Account:  terms.Account,
		Rank:     terms.Rank,
		Body:     body,
		Answer:   terms.Answer,
		TimeLeft: terms.Timeout,
	})
	if v.Accepted() {
		r.widen(p, body)
		return nil
	}
	if body > r.link.limiter.RefusedBytes || p.r.ContentLength < 0 {
		p.leaveBody()
	}
	p.rank = terms.Rank
	r.metrics.intakeRefused.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("reason", string(v.Reason)), attribute.Int("rank", int(terms.Rank))))
	r.log.WithField("request", p.call.ID).WithField("code", codeLinkFull).WithField("reason", string(v.Reason)).
		WithField("account", string(terms.Account)).WithField("rank", int(terms.Rank)).WithField("body", body).
		WithField("answer", terms.Answer).WithField("timeout", terms.Timeout.String()).WithField("delay", v.Delay.String()).
		WithField("taken", int64(v.Taken)).WithField("share", int64(v.Share)).
		WithField("retry_after", v.RetryAfter.String()).Info("intake_refused")
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       codeLinkFull,
		Message:    "the link of this router carries no more",
		Outcome:    waxwingwall.NotRun,
		RetryAfter: v.RetryAfter,
	}
}

// leaveBody closes the connection after the answer, without the rest of the body. The server would
// read it first to use the connection again.
func (p *proxyRequest) leaveBody() {
	p.w.Header().Set("Connection", "close")
	// The server closes at once if less than 256 KB are unread, and the reset that follows may
	// overtake the answer. After a body over a limit it ends its own side first, and waits.
	over := http.MaxBytesReader(p.w, io.NopCloser(strings.NewReader("x")), 0)
	if _, err := io.Copy(io.Discard, over); err == nil {
		p.relay.log.Warning("no_lingering_close")
	}
	if err := http.NewResponseController(p.w).SetReadDeadline(time.Now()); err != nil {
		p.relay.log.WithError(err).Warning("no_read_deadline")
	}
}

// widen gives the connection of an accepted request the window for its body.
func (r *Relay) widen(p *proxyRequest, body int64) {
	conn, ok := p.r.Context().Value(connKey{}).(net.Conn)
	if !ok || r.link.window == 0 || body <= int64(r.link.window) && p.r.ContentLength >= 0 {
		return
	}
	if err := tcp.SetWindow(conn, bodyWindowBytes); err != nil {
		// The body arrives slowly.
		r.log.WithError(err).Debug("window_not_set")
	}
}

// observeIntake adds the instruments of the decisions on bodies.
func (m *metrics) observeIntake(l *link) error {
	var err error
	if m.intakeRefused, err = m.meter.Int64Counter("waxwingwall.edge.intake_refused", metric.WithDescription("Requests refused before their body was read, by reason and rank.")); err != nil {
		return err
	}
	m.intakeRefused.Add(context.Background(), 0)
	asked, err := m.meter.Float64ObservableGauge("waxwingwall.edge.link_asked", metric.WithDescription("Part of the link that requests ask for."))
	if err != nil {
		return err
	}
	largest, err := m.meter.Float64ObservableGauge("waxwingwall.edge.link_account_part", metric.WithDescription("Part of the link of the account that takes most of it."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		all, top, part := l.load()
		o.ObserveFloat64(asked, all)
		o.ObserveFloat64(largest, part, metric.WithAttributes(attribute.String("account", string(top))))
		return nil
	}, asked, largest)
	return err
}
