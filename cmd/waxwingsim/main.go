// Command waxwingsim runs simulators of the hosting platform, of model engines and
// of plain services in one process. See package sim.
//
//	waxwingsim --vm vm-1=127.0.0.1:7102,d1 \
//	  --engine engine-1=127.0.0.1:7011,draft --service orders=127.0.0.1:7021
//
// The admin address accepts fault injections and changes to the member list,
// and reports what was actually run:
//
//	curl -d '{"target":"engine-1","kind":"freeze"}' 127.0.0.1:7001/admin/fault
//	curl -d '{"target":"engine-1","kind":"heal"}' 127.0.0.1:7001/admin/fault
//	curl -d '{"target":"platform","kind":"lose","probability":0.1}' 127.0.0.1:7001/admin/fault
//	curl -d '{"vm":"vm-1","gone":true}' 127.0.0.1:7001/admin/members
//	curl 127.0.0.1:7001/admin/audit
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/sim"
)

// exitUsage is the exit status for invalid arguments.
const exitUsage = 2

type options struct {
	Platform      string        `long:"platform" default:"127.0.0.1:7000" description:"address of the platform"`
	Admin         string        `long:"admin" default:"127.0.0.1:7001" description:"address for fault calls and the audit"`
	VMs           []string      `long:"vm" description:"a VM on the platform's list: name=ip:port,domain"`
	Engines       []string      `long:"engine" description:"a model engine: name=ip:port[,model...]"`
	Services      []string      `long:"service" description:"a plain service: name=ip:port"`
	MemberLag     time.Duration `long:"member-lag" default:"1s" description:"age of the platform's list"`
	Batch         int           `long:"batch" default:"16" description:"streams that an engine runs together"`
	Queue         int           `long:"queue" default:"64" description:"streams that may wait at an engine"`
	TokenInterval time.Duration `long:"token-time" default:"5ms" description:"time between tokens"`
	Restart       time.Duration `long:"restart" default:"500ms" description:"how long a crashed engine is away"`
	Duration      time.Duration `long:"service-time" default:"20ms" description:"how long a service call takes"`
	Fence         bool          `long:"checks-fence" description:"engines refuse orders with old fencing numbers"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of random faults"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	opts, err := o.simOptions()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		logrus.WithError(err).Error("stopped")
		os.Exit(1)
	}
}

func run(opts []sim.Option) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	w, cleanup, err := sim.New(opts...)
	if err != nil {
		return err
	}
	defer cleanup()
	for _, p := range w.Listeners() {
		logrus.WithFields(logrus.Fields{
			"name":    p.Name,
			"kind":    p.Kind,
			"address": p.Address.String(),
		}).Info("listening")
	}
	<-ctx.Done()
	return nil
}

// simOptions converts the arguments to options of package sim.
func (o options) simOptions() ([]sim.Option, error) {
	platform, err := netip.ParseAddrPort(o.Platform)
	if err != nil {
		return nil, fmt.Errorf("--platform: %w", err)
	}
	admin, err := netip.ParseAddrPort(o.Admin)
	if err != nil {
		return nil, fmt.Errorf("--admin: %w", err)
	}
	opts := []sim.Option{
		sim.WithPlatformAddress(platform),
		sim.WithAdminAddress(admin),
		sim.WithMemberLag(o.MemberLag),
		sim.WithSeed(o.Seed),
	}
	for _, s := range o.VMs {
		p, err := parseNamedAddress(s)
		if err != nil || len(p.rest) != 1 {
			return nil, fmt.Errorf("--vm %q: want name=ip:port,domain", s)
		}
		opts = append(opts, sim.WithMembers(waxwingwall.Member{
			VM:      waxwingwall.VM(p.name),
			Address: p.address,
			Domain:  waxwingwall.Domain(p.rest[0]),
		}))
	}
	for _, s := range o.Engines {
		p, err := parseNamedAddress(s)
		if err != nil {
			return nil, fmt.Errorf("--engine %q: want name=ip:port[,model...]", s)
		}
		opts = append(opts, sim.WithEngine(o.engine(p)))
	}
	for _, s := range o.Services {
		p, err := parseNamedAddress(s)
		if err != nil || len(p.rest) != 0 {
			return nil, fmt.Errorf("--service %q: want name=ip:port", s)
		}
		opts = append(opts, sim.WithService(sim.ServiceConfig{
			Name:     p.name,
			Address:  p.address,
			Duration: o.Duration,
		}))
	}
	return opts, nil
}

func (o options) engine(p namedAddress) sim.EngineConfig {
	return sim.EngineConfig{
		Name:        p.name,
		Address:     p.address,
		Models:      p.rest,
		Batch:       o.Batch,
		Queue:       o.Queue,
		TokenTime:   o.TokenInterval,
		Restart:     o.Restart,
		ChecksFence: o.Fence,
	}
}

// namedAddress is an argument of the form name=ip:port,rest...
type namedAddress struct {
	name    string
	address netip.AddrPort
	rest    []string
}

func parseNamedAddress(s string) (namedAddress, error) {
	name, rest, ok := strings.Cut(s, "=")
	if !ok || name == "" {
		return namedAddress{}, errors.New("no name")
	}
	parts := strings.Split(rest, ",")
	address, err := netip.ParseAddrPort(parts[0])
	if err != nil {
		return namedAddress{}, err
	}
	return namedAddress{
		name:    name,
		address: address,
		rest:    parts[1:],
	}, nil
}
