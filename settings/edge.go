package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config/ini"
)

// Edge holds the settings of an edge router, a process that proxies requests
// unchanged on a VM of the users' platform.
type Edge struct {
	// VM and Domain identify the VM and its failure domain.
	VM     waxwingwall.VM     `json:"vm"`
	Domain waxwingwall.Domain `json:"domain"`

	// Callers is the listen address for callers, Readiness for the platform's
	// readiness probes, and Directory for queries of where to connect.
	Callers   netip.AddrPort `json:"callers"`
	Readiness netip.AddrPort `json:"readiness"`
	Directory netip.AddrPort `json:"directory"`

	// Peers is the listen address for other routers.
	Peers netip.AddrPort `json:"peers"`

	// Tunnels is the listen address for other routers that are cut off from endpoints; the
	// zero value disables it.
	Tunnels netip.AddrPort `json:"tunnels"`

	// Metrics is the listen address for metrics and the state dump; the zero
	// value disables it.
	Metrics netip.AddrPort `json:"metrics"`

	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store"`

	// MemoryBytes limits the memory of the process; zero if unspecified.
	MemoryBytes int64 `json:"memory"`

	// LinkMbps is the speed of the VM's network link in Mbit/s; zero if
	// unspecified.
	LinkMbps int `json:"link"`

	// Grace limits the duration of a graceful stop.
	Grace time.Duration `json:"grace"`

	// EndpointDrain is how long after the store acknowledged that an endpoint leaves
	// a request may still reach it.
	EndpointDrain time.Duration `json:"endpoint_drain"`

	// Evacuate is how long after the store acknowledged that a failure domain is to be
	// empty a request may still reach its endpoints.
	Evacuate time.Duration `json:"evacuate"`

	// Lifetime is the longest time that callers may cache the answer to a
	// directory query.
	Lifetime time.Duration `json:"lifetime"`

	// RetryRatio, RetryReserve and RetryWindow limit the retries of all routers
	// together: in each window, RetryRatio times the number of requests plus
	// RetryReserve.
	RetryRatio   float64       `json:"retry_ratio"`
	RetryReserve float64       `json:"retry_reserve"`
	RetryWindow  time.Duration `json:"retry_window"`

	// Log configures logging.
	Log Log `json:"log"`
}

// Limits and defaults of the settings of an edge router.
const (
	maxMemoryMB          = 1 << 20
	maxRetryReserve      = 1e9
	maxLinkMbps          = 1e9
	defaultGrace         = 8 * time.Second
	defaultLifetime      = 2 * time.Second
	defaultEndpointDrain = 2 * time.Second
	defaultEvacuate      = 5 * time.Second
	defaultRetryRatio    = 0.1
	defaultRetryReserve  = 10
	defaultRetryWindow   = 10 * time.Second
)

// parseLink parses a speed in Mbit/s. A fraction is allowed and truncated.
func parseLink(s string) (int, error) {
	speed, err := ini.Float(0, maxLinkMbps)(s)
	return int(speed), err
}

// LoadEdge reads the settings of an edge router from a file. Invalid settings
// are reported as Errors; a read failure is another error.
func LoadEdge(path string) (Edge, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, trace.ConvertSystemError(err)
	}
	return ParseEdge(path, text)
}

// ParseEdge parses the settings of an edge router. Errors refer to the text by
// name.
func ParseEdge(name string, text []byte) (Edge, error) {
	f := ini.Parse(name, text)
	router, listen, store := f.FindOrAdd("router"), f.FindOrAdd("listen"), f.FindOrAdd("store")
	limits, bounds := f.FindOrAdd("limits"), f.FindOrAdd("bounds")
	s := Edge{
		VM:            ini.Get(router, "vm", ini.Name[waxwingwall.VM]),
		Domain:        ini.Get(router, "domain", ini.Name[waxwingwall.Domain]),
		Callers:       ini.Get(listen, "callers", ini.AddrPort),
		Readiness:     ini.Get(listen, "readiness", ini.AddrPort),
		Directory:     ini.Get(listen, "directory", ini.AddrPort),
		Peers:         ini.Get(listen, "peers", ini.AddrPort),
		Tunnels:       ini.Get(listen, "tunnels", ini.AddrPort, netip.AddrPort{}),
		Metrics:       ini.Get(listen, "metrics", ini.AddrPort, netip.AddrPort{}),
		Store:         ini.Get(store, "address", ini.AddrPort),
		MemoryBytes:   ini.Get(limits, "memory_mb", ini.Int[int64](0, maxMemoryMB), 0) << 20,
		LinkMbps:      ini.Get(limits, "link_mbps", parseLink, 0),
		Grace:         ini.Get(bounds, "grace", ini.Duration(time.Second, maxDuration), defaultGrace),
		Lifetime:      ini.Get(bounds, "lifetime", ini.Duration(time.Second, maxDuration), defaultLifetime),
		RetryRatio:    ini.Get(bounds, "retry_ratio", ini.Float(0, 1), defaultRetryRatio),
		RetryReserve:  ini.Get(bounds, "retry_reserve", ini.Float(0, maxRetryReserve), defaultRetryReserve),
		RetryWindow:   ini.Get(bounds, "retry_window", ini.Duration(time.Second, maxDuration), defaultRetryWindow),
		EndpointDrain: ini.Get(bounds, "endpoint_drain", ini.Duration(time.Second, maxDuration), defaultEndpointDrain),
		Evacuate:      ini.Get(bounds, "evacuate", ini.Duration(time.Second, maxDuration), defaultEvacuate),
		Log:           readLog(f.FindOrAdd("log")),
	}
	if err := f.Err(); err != nil {
		return Edge{}, err
	}
	return s, nil
}
