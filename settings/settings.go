// Package settings reads a router process's own settings.
//
// A router learns from its settings who and where it is: its VM, its failure
// domain, the addresses that it listens on, and where the platform is. What it
// serves it learns from the configuration document (package core/config).
// Load reads an INI file when the process starts and names every fault at
// once, with file, line, section, key and reason; a process with a fault in
// its settings doesn't start.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/config/ini"
)

// Error is one fault of the settings.
type Error = ini.Error

// Errors are all faults of the settings, by line.
type Errors = ini.Errors

// Settings are the settings of one router process.
type Settings struct {
	// Router says who the process is.
	Router Router `json:"router"`

	// Listen says where it listens.
	Listen Listen `json:"listen"`

	// Platform says where the platform is.
	Platform Platform `json:"platform"`

	// Callers is TLS towards callers. Without it the callers' address is a
	// loopback address.
	Callers TLS `json:"callers"`

	// Peers is TLS between routers, with client authority. Without it the
	// peers' address is a loopback address.
	Peers TLS `json:"peers"`

	// Operators is TLS towards operators. Without it the operators' address is
	// a loopback address.
	Operators TLS `json:"operators"`

	// OperatorKeys are the keys that operators' calls carry.
	OperatorKeys OperatorKeys `json:"operator_keys"`

	// Log says what is logged.
	Log Log `json:"log"`

	// Timing says how often things are done.
	Timing Timing `json:"timing"`
}

// Router says who the process is.
type Router struct {
	// VM names its virtual machine.
	VM waxwingwall.VM `json:"vm"`

	// Domain is its failure domain.
	Domain waxwingwall.Domain `json:"domain"`

	// Environment picks the configuration document: production, trial or
	// another name.
	Environment string `json:"environment"`

	// Seeds are peers to begin with if the platform's list can't be had when
	// the process starts. Their domains are empty.
	Seeds []waxwingwall.Member `json:"seeds"`
}

// Listen says where the process listens. The addresses differ, and the
// callers' and peers' are those under which others reach it.
type Listen struct {
	// Callers is for callers.
	Callers netip.AddrPort `json:"callers"`

	// Peers is for other routers.
	Peers netip.AddrPort `json:"peers"`

	// Operators is for operators and for metrics.
	Operators netip.AddrPort `json:"operators"`
}

// Platform says where the platform is.
type Platform struct {
	// URL is scheme, IP number and port.
	URL string `json:"url"`

	// Timeout bounds one call.
	Timeout time.Duration `json:"timeout"`
}

// TLS names the files of one listener, or is zero for plain TCP. The files are
// read again when they change.
type TLS struct {
	// Certificate is a PEM file with the certificate and its chain.
	Certificate string `json:"certificate"`

	// Key is a PEM file with the private key.
	Key string `json:"key"`

	// ClientAuthority is a PEM file with the authorities that a client's
	// certificate has to come from; empty for no client certificates.
	ClientAuthority string `json:"client_authority"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// OperatorKeys are the keys that operators' calls carry, as SHA-256 in hex.
type OperatorKeys struct {
	// Hashes are those given in the file.
	Hashes []string `json:"hashes"`

	// File names a file with one hash a line; empty for none. At least one of
	// Hashes and File is given.
	File string `json:"file"`
}

// LogFormat tells how a line of log looks.
type LogFormat string

// The formats.
const (
	// TextFormat is for people.
	TextFormat LogFormat = "text"

	// JSONFormat is for machines.
	JSONFormat LogFormat = "json"
)

// Log says what is logged.
type Log struct {
	// Level is the least level that is logged: debug, info, warning or error.
	Level string `json:"level"`

	// Format tells how a line looks.
	Format LogFormat `json:"format"`
}

// Timing says how often things are done.
type Timing struct {
	// Tick is the step of the control loop.
	Tick time.Duration `json:"tick"`

	// Heartbeat is the time between two heartbeats to a peer; at least Tick.
	Heartbeat time.Duration `json:"heartbeat"`

	// Config is the time between two looks at the configuration's version.
	Config time.Duration `json:"config"`

	// Members is the time between two looks at the platform's list.
	Members time.Duration `json:"members"`

	// Drain is how long a planned stop waits for requests in progress.
	Drain time.Duration `json:"drain"`
}

// Defaults of values.
const (
	defaultEnvironment     = "production"
	defaultPlatformTimeout = 2 * time.Second
	defaultLevel           = "info"
	defaultTick            = 20 * time.Millisecond
	defaultHeartbeat       = 250 * time.Millisecond
	defaultConfig          = time.Second
	defaultMembers         = 2 * time.Second
	defaultDrain           = 10 * time.Minute
)

// Limits of values.
const (
	minTick     = time.Millisecond
	maxTick     = time.Second
	maxDuration = 24 * time.Hour
)

// Load reads the settings in a file. Faults of the settings are Errors; a file
// that can't be read is another error.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, text)
}

// Parse reads settings from a text. The name stands in the errors.
func Parse(name string, text []byte) (Settings, error) {
	f := ini.Parse(name, text)
	s := read(f)
	check(f, s)
	if err := f.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Local returns settings for a router of a demo: on a loopback address, with
// three ports from the first on, without TLS.
func Local(vm waxwingwall.VM, domain waxwingwall.Domain, first netip.AddrPort, platform string) Settings {
	port := func(n uint16) netip.AddrPort {
		return netip.AddrPortFrom(first.Addr(), first.Port()+n)
	}
	return Settings{
		Router: Router{
			VM:          vm,
			Domain:      domain,
			Environment: defaultEnvironment,
		},
		Listen: Listen{
			Callers:   port(0),
			Peers:     port(1),
			Operators: port(2),
		},
		Platform: Platform{
			URL:     platform,
			Timeout: defaultPlatformTimeout,
		},
		Log: Log{
			Level:  defaultLevel,
			Format: TextFormat,
		},
		Timing: Timing{
			Tick:      defaultTick,
			Heartbeat: defaultHeartbeat,
			Config:    defaultConfig,
			Members:   defaultMembers,
			Drain:     defaultDrain,
		},
	}
}

// KeyHashes returns the hashes of the operators' keys, those in the file
// included.
func (k OperatorKeys) KeyHashes() ([]string, error) {
	hashes := append([]string(nil), k.Hashes...)
	if k.File == "" {
		return hashes, nil
	}
	text, err := os.ReadFile(k.File)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	more, err := hashLines(text)
	if err != nil {
		return nil, trace.Wrap(err, "%s", k.File)
	}
	return append(hashes, more...), nil
}

// hashLines reads one hash a line.
func hashLines(text []byte) ([]string, error) {
	var hashes []string
	for _, line := range splitLines(text) {
		hash, err := config.ParseKeyHash(line)
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, hash)
	}
	return hashes, nil
}
