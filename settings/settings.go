// Package settings reads the settings of a router process.
//
// The settings identify the process and its environment: its VM, its failure
// domain, its listen addresses and the address of the hosting platform. What the
// router serves is set in the configuration document (package core/config). Load
// reads an INI file when the process starts and reports all errors at once, each
// with file, line, section, key and reason; a process with invalid settings does
// not start.
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

// Error is one error in the settings.
type Error = ini.Error

// Errors holds all errors in the settings, ordered by line.
type Errors = ini.Errors

// Settings holds the settings of one router process.
type Settings struct {
	// Router identifies the process.
	Router Router `json:"router"`

	// Listen holds the listen addresses.
	Listen Listen `json:"listen"`

	// Platform configures access to the hosting platform.
	Platform Platform `json:"platform"`

	// Callers configures TLS for callers. Without it the callers' address must
	// be a loopback address.
	Callers TLS `json:"callers"`

	// Peers configures TLS between routers, with a client authority. Without it
	// the peers' address must be a loopback address.
	Peers TLS `json:"peers"`

	// Operators configures TLS for operators. Without it the operators' address
	// must be a loopback address.
	Operators TLS `json:"operators"`

	// OperatorKeys holds the keys that authenticate operators.
	OperatorKeys OperatorKeys `json:"operator_keys"`

	// Log configures logging.
	Log Log `json:"log"`

	// Timing holds intervals and timeouts.
	Timing Timing `json:"timing"`
}

// Router identifies the process.
type Router struct {
	// VM names the virtual machine.
	VM waxwingwall.VM `json:"vm"`

	// Domain is the failure domain of the VM.
	Domain waxwingwall.Domain `json:"domain"`

	// Environment selects the configuration document: production, trial or
	// another name.
	Environment string `json:"environment"`

	// Seeds are the initial peers if the platform's member list is unavailable
	// when the process starts. Their domains are empty.
	Seeds []waxwingwall.Member `json:"seeds"`
}

// Listen holds the listen addresses. They are distinct, and those for callers
// and peers must be reachable by other processes.
type Listen struct {
	// Callers is for callers.
	Callers netip.AddrPort `json:"callers"`

	// Peers is for other routers.
	Peers netip.AddrPort `json:"peers"`

	// Operators is for operators and for metrics.
	Operators netip.AddrPort `json:"operators"`
}

// Platform configures access to the hosting platform.
type Platform struct {
	// URL consists of scheme, IP address and port.
	URL string `json:"url"`

	// Timeout limits one call.
	Timeout time.Duration `json:"timeout"`
}

// TLS names the files of one listener; the zero value means plain TCP. The
// files are reloaded when they change.
type TLS struct {
	// Certificate is a PEM file with the certificate chain.
	Certificate string `json:"certificate"`

	// Key is a PEM file with the private key.
	Key string `json:"key"`

	// ClientAuthority is a PEM file with the authorities that must have issued
	// a client's certificate; empty if client certificates are not required.
	ClientAuthority string `json:"client_authority"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// OperatorKeys holds the SHA-256 hashes, in hex, of the keys that authenticate
// operators.
type OperatorKeys struct {
	// Hashes are the hashes in the settings file.
	Hashes []string `json:"hashes"`

	// File names a file with one hash per line; empty for none. At least one of
	// Hashes and File is set.
	File string `json:"file"`
}

// LogFormat selects the format of log lines.
type LogFormat string

// The log formats.
const (
	// TextFormat is human-readable.
	TextFormat LogFormat = "text"

	// JSONFormat is machine-readable.
	JSONFormat LogFormat = "json"
)

// Log configures logging.
type Log struct {
	// Level is the minimum level of logged messages: debug, info, warning or
	// error.
	Level string `json:"level"`

	// Format selects the format of log lines.
	Format LogFormat `json:"format"`
}

// Timing holds intervals and timeouts.
type Timing struct {
	// TickInterval is the interval of the control loop.
	TickInterval time.Duration `json:"tick"`

	// HeartbeatInterval is the interval between two heartbeats to a peer; at least
	// TickInterval.
	HeartbeatInterval time.Duration `json:"heartbeat"`

	// ConfigInterval is the interval at which the configuration's version is polled.
	ConfigInterval time.Duration `json:"config"`

	// MembersInterval is the interval at which the platform's member list is polled.
	MembersInterval time.Duration `json:"members"`

	// DrainTimeout limits how long a graceful stop waits for running requests.
	DrainTimeout time.Duration `json:"drain"`
}

// Defaults of settings that the file does not contain.
const (
	defaultEnvironment       = "production"
	defaultPlatformTimeout   = 2 * time.Second
	defaultLevel             = "info"
	defaultTickInterval      = 20 * time.Millisecond
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultConfigInterval    = time.Second
	defaultMembersInterval   = 2 * time.Second
	defaultDrainTimeout      = 10 * time.Minute
)

// minTick and maxTick limit TickInterval; maxDuration limits the other durations,
// except Platform.Timeout.
const (
	minTick     = time.Millisecond
	maxTick     = time.Second
	maxDuration = 24 * time.Hour
)

// Load reads the settings from a file. Invalid settings are reported as Errors;
// a read failure is another error.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, text)
}

// Parse parses settings. Errors refer to the text by name.
func Parse(name string, text []byte) (Settings, error) {
	f := ini.Parse(name, text)
	s := read(f)
	check(f, s)
	if err := f.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Loopback returns settings for a demo router: on a loopback address, without TLS,
// on three consecutive ports beginning with that of first.
func Loopback(vm waxwingwall.VM, domain waxwingwall.Domain, first netip.AddrPort, platform string) Settings {
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
			TickInterval:      defaultTickInterval,
			HeartbeatInterval: defaultHeartbeatInterval,
			ConfigInterval:    defaultConfigInterval,
			MembersInterval:   defaultMembersInterval,
			DrainTimeout:      defaultDrainTimeout,
		},
	}
}

// KeyHashes returns the hashes of the operators' keys, including those in the
// file.
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

// hashLines parses one hash per line.
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
