package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config/ini"
)

// Edge are the settings of a router process that passes requests through
// unchanged, on a VM of the users' platform.
type Edge struct {
	// VM and Domain say who and where the process is.
	VM     waxwingwall.VM     `json:"vm"`
	Domain waxwingwall.Domain `json:"domain"`

	// Callers is where it serves callers, Readiness where it answers the
	// platform's probes, Directory where it tells callers where to connect.
	Callers   netip.AddrPort `json:"callers"`
	Readiness netip.AddrPort `json:"readiness"`
	Directory netip.AddrPort `json:"directory"`

	// Peers is where it listens for other routers.
	Peers netip.AddrPort `json:"peers"`

	// Metrics is where it serves counters, histograms and the state dump; not
	// valid if it doesn't.
	Metrics netip.AddrPort `json:"metrics"`

	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store"`

	// Memory is how many bytes the process may use; zero if nobody said.
	Memory int64 `json:"memory"`

	// Link is the speed of the VM's link in Mbit/s; zero if nobody said.
	Link int `json:"link"`

	// Grace is how long a stop may take.
	Grace time.Duration `json:"grace"`

	// Lifetime is the longest that callers may keep an answer to where to
	// connect.
	Lifetime time.Duration `json:"lifetime"`

	// RetryRatio, RetryReserve and RetryWindow bound the retries of the whole
	// fleet.
	RetryRatio   float64       `json:"retry_ratio"`
	RetryReserve float64       `json:"retry_reserve"`
	RetryWindow  time.Duration `json:"retry_window"`

	// Log says what is logged.
	Log Log `json:"log"`
}

// Limits and defaults of the settings of an edge.
const (
	maxMemoryMB         = 1 << 20
	maxRetryReserve     = 1e9
	maxLinkMbps         = 1e9
	defaultGrace        = 8 * time.Second
	defaultLifetime     = 2 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetryReserve = 10
	defaultRetryWindow  = 10 * time.Second
)

// parseLink reads a speed in Mbit/s, which may have a fraction.
func parseLink(s string) (int, error) {
	speed, err := ini.Float(0, maxLinkMbps)(s)
	return int(speed), err
}

// LoadEdge reads the settings of an edge in a file. Faults of the settings are
// Errors; a file that can't be read is another error.
func LoadEdge(path string) (Edge, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, trace.ConvertSystemError(err)
	}
	return ParseEdge(path, text)
}

// ParseEdge reads the settings of an edge from a text. The name stands in the
// errors.
func ParseEdge(name string, text []byte) (Edge, error) {
	f := ini.Parse(name, text)
	router, listen, store := f.Need("router"), f.Need("listen"), f.Need("store")
	limits, bounds := f.Need("limits"), f.Need("bounds")
	s := Edge{
		VM:           ini.Get(router, "vm", ini.Name[waxwingwall.VM]),
		Domain:       ini.Get(router, "domain", ini.Name[waxwingwall.Domain]),
		Callers:      ini.Get(listen, "callers", ini.AddrPort),
		Readiness:    ini.Get(listen, "readiness", ini.AddrPort),
		Directory:    ini.Get(listen, "directory", ini.AddrPort),
		Peers:        ini.Get(listen, "peers", ini.AddrPort),
		Metrics:      ini.Get(listen, "metrics", ini.AddrPort, netip.AddrPort{}),
		Store:        ini.Get(store, "address", ini.AddrPort),
		Memory:       ini.Get(limits, "memory_mb", ini.Int[int64](0, maxMemoryMB), 0) << 20,
		Link:         ini.Get(limits, "link_mbps", parseLink, 0),
		Grace:        ini.Get(bounds, "grace", ini.Duration(time.Second, maxDuration), defaultGrace),
		Lifetime:     ini.Get(bounds, "lifetime", ini.Duration(time.Second, maxDuration), defaultLifetime),
		RetryRatio:   ini.Get(bounds, "retry_ratio", ini.Float(0, 1), defaultRetryRatio),
		RetryReserve: ini.Get(bounds, "retry_reserve", ini.Float(0, maxRetryReserve), defaultRetryReserve),
		RetryWindow:  ini.Get(bounds, "retry_window", ini.Duration(time.Second, maxDuration), defaultRetryWindow),
		Log:          readLog(f.Need("log")),
	}
	if err := f.Err(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
