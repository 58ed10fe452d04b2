package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/config/ini"
)

// sections lists the allowed sections. A section is required if it has a key
// without a default.
var sections = []string{
	"router",
	"listen",
	"platform",
	"callers_tls",
	"peers_tls",
	"operators_tls",
	"operators",
	"log",
	"timing",
}

// read reads the settings from a parsed file.
func read(f *ini.File) Settings {
	for _, s := range f.Sections {
		if !knownSection(s.Name) {
			s.Reject("unknown section")
		}
	}
	return Settings{
		Router:       readRouter(f.FindOrAdd("router")),
		Listen:       readListen(f.FindOrAdd("listen")),
		Platform:     readPlatform(f.FindOrAdd("platform")),
		Callers:      readTLS(f.FindOrAdd("callers_tls")),
		Peers:        readTLS(f.FindOrAdd("peers_tls")),
		Operators:    readTLS(f.FindOrAdd("operators_tls")),
		OperatorKeys: readKeys(f.FindOrAdd("operators")),
		Log:          readLog(f.FindOrAdd("log")),
		Timing:       readTiming(f.FindOrAdd("timing")),
	}
}

func knownSection(name string) bool {
	for _, s := range sections {
		if s == name {
			return true
		}
	}
	return false
}

func readRouter(s *ini.Section) Router {
	return Router{
		VM:          ini.Get(s, "vm", ini.Name[waxwingwall.VM]),
		Domain:      ini.Get(s, "domain", ini.Name[waxwingwall.Domain]),
		Environment: ini.Get(s, "environment", config.ParseEnvironment, defaultEnvironment),
		Seeds:       ini.Get(s, "seeds", ini.List(parseSeed), nil),
	}
}

// parseSeed parses a peer of the form vm@ip:port.
func parseSeed(s string) (waxwingwall.Member, error) {
	name, hostport, ok := strings.Cut(s, "@")
	if !ok {
		return waxwingwall.Member{}, fmt.Errorf("%q is not vm@ip:port", s)
	}
	vm, err := ini.Name[waxwingwall.VM](name)
	if err != nil {
		return waxwingwall.Member{}, err
	}
	addr, err := ini.AddrPort(hostport)
	if err != nil {
		return waxwingwall.Member{}, err
	}
	return waxwingwall.Member{
		VM:      vm,
		Address: addr,
	}, nil
}

func readListen(s *ini.Section) Listen {
	return Listen{
		Callers:   ini.Get(s, "callers", ini.AddrPort),
		Peers:     ini.Get(s, "peers", ini.AddrPort),
		Operators: ini.Get(s, "operators", ini.AddrPort),
	}
}

func readPlatform(s *ini.Section) Platform {
	return Platform{
		URL:     ini.Get(s, "url", ini.BaseURL),
		Timeout: ini.Get(s, "timeout", ini.Duration(time.Millisecond, time.Minute), defaultPlatformTimeout),
	}
}

func readTLS(s *ini.Section) TLS {
	t := TLS{
		Certificate:     ini.Get(s, "certificate", ini.Text, ""),
		Key:             ini.Get(s, "key", ini.Text, ""),
		ClientAuthority: ini.Get(s, "client_authority", ini.Text, ""),
	}
	if t.Certificate == "" && (t.Key != "" || t.ClientAuthority != "") {
		s.Fail("certificate", "missing; required with key or client_authority")
	}
	if t.Certificate != "" && t.Key == "" {
		s.Fail("key", "missing; required with certificate")
	}
	return t
}

func readKeys(s *ini.Section) OperatorKeys {
	k := OperatorKeys{
		Hashes: ini.Get(s, "key_hashes", ini.List(config.ParseKeyHash), nil),
		File:   ini.Get(s, "key_hash_file", ini.Text, ""),
	}
	if len(k.Hashes) == 0 && k.File == "" {
		s.Fail("key_hashes", "missing; key_hashes or key_hash_file is required")
	}
	return k
}

func readLog(s *ini.Section) Log {
	return Log{
		Level:  ini.Get(s, "level", ini.OneOf("debug", "info", "warning", "error"), defaultLevel),
		Format: ini.Get(s, "format", ini.OneOf(TextFormat, JSONFormat), TextFormat),
	}
}

func readTiming(s *ini.Section) Timing {
	tick := ini.Get(s, "tick", ini.Duration(minTick, maxTick), defaultTickInterval)
	parseInterval := ini.Duration(max(tick, minTick), maxDuration)
	return Timing{
		TickInterval:      tick,
		HeartbeatInterval: ini.Get(s, "heartbeat", parseInterval, defaultHeartbeatInterval),
		ConfigInterval:    ini.Get(s, "config", parseInterval, defaultConfigInterval),
		MembersInterval:   ini.Get(s, "members", parseInterval, defaultMembersInterval),
		DrainTimeout:      ini.Get(s, "drain", parseInterval, defaultDrainTimeout),
	}
}

// check validates settings against each other.
func check(f *ini.File, s Settings) {
	listen := f.FindOrAdd("listen")
	checkDistinct(listen, s.Listen)
	checkPlaintext(listen, "callers", s.Listen.Callers, s.Callers)
	checkPlaintext(listen, "peers", s.Listen.Peers, s.Peers)
	checkPlaintext(listen, "operators", s.Listen.Operators, s.Operators)
	checkReachable(listen, "callers", s.Listen.Callers)
	checkReachable(listen, "peers", s.Listen.Peers)
	if s.Peers.Enabled() && s.Peers.ClientAuthority == "" {
		f.FindOrAdd("peers_tls").Fail("client_authority", "missing; routers authenticate each other")
	}
}

func checkDistinct(s *ini.Section, l Listen) {
	if l.Peers.IsValid() && l.Peers == l.Callers {
		s.Fail("peers", "same address as callers")
	}
	if l.Operators.IsValid() && (l.Operators == l.Callers || l.Operators == l.Peers) {
		s.Fail("operators", "same address as callers or peers")
	}
}

// checkReachable rejects addresses that other processes can't connect to.
func checkReachable(s *ini.Section, key string, addr netip.AddrPort) {
	if addr.IsValid() && addr.Addr().IsUnspecified() {
		s.Fail(key, "others can't reach an unspecified address")
	}
}

// checkPlaintext rejects plain TCP on addresses other than loopback.
func checkPlaintext(s *ini.Section, key string, addr netip.AddrPort, t TLS) {
	if addr.IsValid() && !t.Enabled() && !addr.Addr().IsLoopback() {
		s.Fail(key, "without TLS only a loopback address is allowed")
	}
}

// splitLines returns the lines that are neither empty nor comments.
func splitLines(text []byte) []string {
	var lines []string
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && line[0] != '#' {
			lines = append(lines, line)
		}
	}
	return lines
}
