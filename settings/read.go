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

// sections are all that a file may have. Those with a key that has no default
// have to be there.
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

// read takes the settings out of a file.
func read(f *ini.File) Settings {
	for _, s := range f.Sections {
		if !known(s.Name) {
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

func known(name string) bool {
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

// parseSeed reads a peer as vm@ip:port.
func parseSeed(s string) (waxwingwall.Member, error) {
	name, at, ok := strings.Cut(s, "@")
	if !ok {
		return waxwingwall.Member{}, fmt.Errorf("%q is not vm@ip:port", s)
	}
	vm, err := ini.Name[waxwingwall.VM](name)
	if err != nil {
		return waxwingwall.Member{}, err
	}
	addr, err := ini.AddrPort(at)
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
		s.Fail("certificate", "missing beside key or client_authority")
	}
	if t.Certificate != "" && t.Key == "" {
		s.Fail("key", "missing beside certificate")
	}
	return t
}

func readKeys(s *ini.Section) OperatorKeys {
	k := OperatorKeys{
		Hashes: ini.Get(s, "key_hashes", ini.List(config.ParseKeyHash), nil),
		File:   ini.Get(s, "key_hash_file", ini.Text, ""),
	}
	if len(k.Hashes) == 0 && k.File == "" {
		s.Fail("key_hashes", "missing, and so is key_hash_file")
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
	tick := ini.Get(s, "tick", ini.Duration(minTick, maxTick), defaultTick)
	times := ini.Duration(max(tick, minTick), maxTime)
	return Timing{
		Tick:      tick,
		Heartbeat: ini.Get(s, "heartbeat", times, defaultHeartbeat),
		Config:    ini.Get(s, "config", times, defaultConfig),
		Members:   ini.Get(s, "members", times, defaultMembers),
		Drain:     ini.Get(s, "drain", times, defaultDrain),
	}
}

// check compares the settings with each other.
func check(f *ini.File, s Settings) {
	listen := f.FindOrAdd("listen")
	checkDistinct(listen, s.Listen)
	checkPlain(listen, "callers", s.Listen.Callers, s.Callers)
	checkPlain(listen, "peers", s.Listen.Peers, s.Peers)
	checkPlain(listen, "operators", s.Listen.Operators, s.Operators)
	checkReachable(listen, "callers", s.Listen.Callers)
	checkReachable(listen, "peers", s.Listen.Peers)
	if s.Peers.Enabled() && s.Peers.ClientAuthority == "" {
		f.FindOrAdd("peers_tls").Fail("client_authority", "missing: routers check each other")
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

// checkReachable refuses addresses that can't be given to others.
func checkReachable(s *ini.Section, key string, at netip.AddrPort) {
	if at.IsValid() && at.Addr().IsUnspecified() {
		s.Fail(key, "others can't reach an unspecified address")
	}
}

// checkPlain refuses plain TCP beyond the machine.
func checkPlain(s *ini.Section, key string, at netip.AddrPort, t TLS) {
	if at.IsValid() && !t.Enabled() && !at.Addr().IsLoopback() {
		s.Fail(key, "without TLS only a loopback address is allowed")
	}
}

// splitLines returns the lines that aren't empty and aren't comments.
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
