// Package demo runs a small fleet in one process: the stand-ins of package sim and
// three routers, each with its own listeners on loopback addresses, like separate
// processes.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/core/config"
	"waxwingwall/core/escrow"
	"waxwingwall/daemon"
	"waxwingwall/io/platform"
	"waxwingwall/io/table"
	"waxwingwall/settings"
	"waxwingwall/sim"
)

// Constants of the demo's fleet.
const (
	// CallerKey is the bearer key of the client account.
	CallerKey = "demo-caller-key"

	// OperatorKey is the bearer key of operators.
	OperatorKey = "demo-operator-key"

	// OrderService is a plain service whose calls must run at most once.
	OrderService = "orders"

	// Model is the model that the engines serve.
	Model = "small"

	// routers is the number of routers, each in its own failure domain.
	routers = 3

	// defaultBudget is the initial amount of the budget, in tokens.
	defaultBudget = 100_000

	// defaultBodyTimeout limits the time to receive the body of a request.
	defaultBodyTimeout = 10 * time.Second

	// readyPollInterval is the time between two checks whether routers are ready.
	readyPollInterval = 50 * time.Millisecond

	// minFirstPort and maxFirstPort limit the first of a router's three consecutive
	// ports.
	minFirstPort = 10_000
	maxFirstPort = 19_990
)

// Fleet is a running demo.
type Fleet struct {
	world   *sim.World
	client  *platform.Client
	daemons []*daemon.Daemon
	callers []string
	cleanup []func()

	// Set by options before the fleet starts; engine configures both engines, except
	// for their names.
	engine      sim.EngineConfig
	budget      waxwingwall.Tokens
	tls         settings.TLS
	operators   []string
	bodyTimeout time.Duration
}

// Option configures a Fleet before it starts.
type Option func(*Fleet)

// WithEngine configures the engines; the name in c is ignored.
func WithEngine(c sim.EngineConfig) Option {
	return func(f *Fleet) { f.engine = c }
}

// WithBodyTimeout limits the time to receive the body of a request.
func WithBodyTimeout(d time.Duration) Option {
	return func(f *Fleet) { f.bodyTimeout = d }
}

// WithTLS enables TLS for callers, peers and operators with the certificate, key
// and client authority in the given files. Callers need no certificate.
func WithTLS(t settings.TLS) Option {
	return func(f *Fleet) { f.tls = t }
}

// WithBudget sets the initial amount of the budget, in tokens.
func WithBudget(n waxwingwall.Tokens) Option {
	return func(f *Fleet) { f.budget = n }
}

// Start starts a fleet and waits until every router is ready. The returned function
// stops the fleet.
func Start(ctx context.Context, opts ...Option) (*Fleet, func(), error) {
	f := &Fleet{
		budget:      defaultBudget,
		bodyTimeout: defaultBodyTimeout,
	}
	for _, o := range opts {
		o(f)
	}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, nil, trace.Wrap(err)
	}
	return f, f.stop, nil
}

func (f *Fleet) start(ctx context.Context) error {
	all := make([]settings.Settings, routers)
	taken := map[uint16]bool{}
	for i := range all {
		first, err := freePorts(taken)
		if err != nil {
			return err
		}
		all[i] = settings.Loopback(waxwingwall.VM(fmt.Sprintf("vm%d", i+1)), waxwingwall.Domain(fmt.Sprintf("domain%d", i+1)), first, "")
		all[i].OperatorKeys.Hashes = []string{config.HashKey(OperatorKey)}
		all[i].Callers = f.tls
		all[i].Callers.ClientAuthority = ""
		all[i].Operators = f.tls
		all[i].Peers = f.tls
	}
	if err := f.startWorld(all); err != nil {
		return err
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	runner, closeRunner := daemon.NewRunner()
	f.cleanup = append(f.cleanup, closeRunner)
	for _, s := range all {
		s.Platform.URL = f.world.Platform.URL()
		if err := f.startRouter(s, runner); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// freePorts returns an address whose port and the next two are free and not taken by another
// router that has not started yet; it takes them. The ports are below the ephemeral port range,
// so that outgoing connections don't take them.
func freePorts(taken map[uint16]bool) (netip.AddrPort, error) {
	const tries = 50
	for range tries {
		port := uint16(minFirstPort + rand.IntN(maxFirstPort-minFirstPort))
		first := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if taken[port] || taken[port+1] || taken[port+2] {
			continue
		}
		if isFree(first, 0) && isFree(first, 1) && isFree(first, 2) {
			taken[port], taken[port+1], taken[port+2] = true, true, true
			return first, nil
		}
	}
	return netip.AddrPort{}, trace.LimitExceeded("no three free ports in a row")
}

// isFree reports whether the n-th port after that of first is free.
func isFree(first netip.AddrPort, n uint16) bool {
	l, err := net.Listen("tcp", netip.AddrPortFrom(first.Addr(), first.Port()+n).String())
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// startWorld starts the stand-ins and a client of the platform.
func (f *Fleet) startWorld(all []settings.Settings) error {
	engine1, engine2 := f.engine, f.engine
	engine1.Name = "engine1"
	engine2.Name = "engine2"
	opts := []sim.Option{
		sim.WithEngine(engine1),
		sim.WithEngine(engine2),
		sim.WithService(sim.ServiceConfig{
			Name: "orders1",
		}),
	}
	for _, s := range all {
		opts = append(opts, sim.WithMembers(waxwingwall.Member{
			VM:      s.Router.VM,
			Address: s.Listen.Peers,
			Domain:  s.Router.Domain,
		}))
	}
	world, stop, err := sim.New(opts...)
	if err != nil {
		return err
	}
	f.world = world
	f.cleanup = append(f.cleanup, stop)
	client, closeClient, err := platform.New(world.Platform.URL())
	if err != nil {
		return err
	}
	f.client = client
	f.cleanup = append(f.cleanup, closeClient)
	return nil
}

// publish publishes the configuration and tops up the budget, as an operator
// would.
func (f *Fleet) publish(ctx context.Context) error {
	text := f.document()
	if _, err := config.Parse(text); err != nil {
		return err
	}
	change := config.NewChange(config.Request{
		Environment: config.Production,
		Text:        text,
		Author:      "demo",
		Time:        time.Now(),
		ID:          "demo",
	})
	if err := table.Run(ctx, f.client, change); err != nil {
		return err
	}
	if _, err := change.Result(); err != nil {
		return err
	}
	topUp := escrow.NewTopUp("demo-main", "first", f.budget)
	if err := table.Run(ctx, f.client, topUp); err != nil {
		return err
	}
	return topUp.Err()
}

// documentHeader is the configuration without the endpoints, formatted with the
// body timeout and the hash of the caller's key.
const documentHeader = `[limits]
max_prompt = 4000
max_output = 2000
default_output = 200
body_timeout = %v

[rank urgent]
level = 0
first_token = 420ms
between_tokens = 65ms
floor = 0.2
worth = 10

[rank routine]
level = 1
first_token = 2s
between_tokens = 100ms
floor = 0.2
worth = 3

[rank batch]
level = 2
first_token = 30s
between_tokens = 500ms
floor = 0.1
worth = 1

[account demo]
key_hashes = %s
rank = routine
budget = demo-main

[budget demo-main]
account = demo
`

// documentEndpoint is the section of an endpoint, formatted with its name and
// address.
const documentEndpoint = `
[endpoint %s]
address = %s
domain = domain1
concurrency = 16
`

// document returns the fleet's configuration.
func (f *Fleet) document() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, documentHeader, f.bodyTimeout, config.HashKey(CallerKey))
	for _, l := range f.world.Listeners() {
		switch l.Kind {
		case "engine":
			fmt.Fprintf(&b, documentEndpoint, l.Name, l.Address)
			fmt.Fprintf(&b, "kind = model\nmodels = %s\nidempotent = true\n", Model)
		case "service":
			fmt.Fprintf(&b, documentEndpoint, l.Name, l.Address)
			fmt.Fprintf(&b, "kind = service\nmodels = %s\nidempotent = false\nprice = 10\n", OrderService)
		}
	}
	return []byte(b.String())
}

func (f *Fleet) startRouter(s settings.Settings, runner waxwingwall.Runner) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, stop, err := daemon.Start(s, runner, logrus.NewEntry(log))
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	f.callers = append(f.callers, s.Listen.Callers.String())
	f.operators = append(f.operators, s.Listen.Operators.String())
	f.cleanup = append(f.cleanup, stop)
	return nil
}

// waitReady waits until every router is ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, d := range f.daemons {
		for !d.Router.Ready(ctx) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return trace.Wrap(ctx.Err(), "routers are not ready")
			}
		}
	}
	return nil
}

func (f *Fleet) stop() {
	for i := len(f.cleanup) - 1; i >= 0; i-- {
		f.cleanup[i]()
	}
}

// CallerAddresses returns the addresses for callers, one per router.
func (f *Fleet) CallerAddresses() []string {
	return f.callers
}

// OperatorAddresses returns the addresses for operators, one per router.
func (f *Fleet) OperatorAddresses() []string {
	return f.operators
}

// EngineAddress returns the address of the first engine.
func (f *Fleet) EngineAddress() netip.AddrPort {
	return f.world.Engines[0].ListenAddress()
}

// OwnerIndex returns the index in CallerAddresses of the router that owns the
// account's slot.
func (f *Fleet) OwnerIndex() (int, error) {
	all := f.daemons[0].Router.Addresses("demo").Addresses
	if len(all) == 0 {
		return 0, trace.NotFound("the account has no addresses yet")
	}
	for i, c := range f.callers {
		if c == all[0].Address {
			return i, nil
		}
	}
	return 0, trace.NotFound("%s is not the address of a router of the fleet", all[0].Address)
}

// EngineRuns returns the number of attempts, finished or not, that the engines
// accepted from the router with index i in CallerAddresses.
func (f *Fleet) EngineRuns(i int) int {
	var n int
	for _, r := range f.world.Audit.Report().Runs {
		if strings.HasPrefix(r.Attempt, fmt.Sprintf("vm%d@", i+1)) {
			n++
		}
	}
	return n
}

// ServiceCalls returns the number of calls that the order service ran.
func (f *Fleet) ServiceCalls() int {
	return len(f.world.Audit.Report().Calls)
}

// Bills drains the routers, which writes all bills to the table, and returns the
// bills.
func (f *Fleet) Bills(ctx context.Context) ([]claim.Claim, error) {
	for _, d := range f.daemons {
		if err := d.Drain(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	rows, err := f.client.List(ctx, claim.AllBillsPrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return claim.ReadBills(rows)
}

// NewChatRequest returns the body of a model request.
func NewChatRequest(prompt string, stream bool) sim.ChatRequest {
	return sim.ChatRequest{
		Model: Model,
		Messages: []sim.Message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
		MaxTokens: 200,
		Stream:    stream,
	}
}

// Delta returns the text of one event of a stream.
func Delta(event string) string {
	var c sim.ChatResponse
	if err := json.Unmarshal([]byte(event), &c); err != nil || len(c.Choices) == 0 || c.Choices[0].Delta == nil {
		return ""
	}
	return c.Choices[0].Delta.Content
}
