package settings

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"waxwingwall/core/config"
)

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validSettings = `
[router]
vm = vm-1
domain = d1
seeds = vm-2@10.0.0.2:7002, vm-3@10.0.0.3:7002

[listen]
callers = 127.0.0.1:7001 ; for callers
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003

[platform]
url = http://127.0.0.1:7000

[operators]
key_hashes = ` + hash + `
`

func TestLoadAppliesDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Loopback("vm-1", "d1", netip.MustParseAddrPort("127.0.0.1:7001"), "http://127.0.0.1:7000")
	if len(got.Router.Seeds) != 2 || got.Router.Seeds[1].Address != netip.MustParseAddrPort("10.0.0.3:7002") {
		t.Fatalf("got %+v", got.Router.Seeds)
	}
	want.Router.Seeds = got.Router.Seeds
	if !reflect.DeepEqual(got.Router, want.Router) || got.Listen != want.Listen || got.Timing != want.Timing || got.Platform != want.Platform {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	text := `[router]
vm = vm-1
colour = red
seeds = vm-2=10.0.0.2:7002
[listen]
callers = localhost:7001
peers = 10.0.0.1:7002
operators = 127.0.0.1:7003
operators = 127.0.0.1:7004
[platform]
url = http://platform:80
[callers_tls]
key = key.pem
[operators]
key_hashes = abc
[timing]
tick = 20
[extra]
what = ever
not a line
`
	want := []string{
		"r.ini:0: [log]",
		"r.ini:1: [router] domain: missing",
		"r.ini:3: [router] colour: unknown key",
		"r.ini:4: [router] seeds: \"vm-2=10.0.0.2:7002\" is not vm@ip:port",
		"r.ini:6: [listen] callers: \"localhost:7001\" is not an IP number with a port",
		"r.ini:7: [listen] peers: without TLS only a loopback address is allowed",
		"r.ini:9: [listen] operators: given twice, first on line 8",
		"r.ini:11: [platform] url: \"platform:80\" is not an IP number with a port",
		"r.ini:12: [callers_tls] certificate: missing; required with key or client_authority",
		"r.ini:15: [operators] key_hashes: not a SHA-256 in lower-case hex",
		"r.ini:17: [timing] tick: \"20\" is not a time such as 250ms",
		"r.ini:18: [extra] unknown section",
		"r.ini:20: [extra] neither [section] nor key = value",
	}[1:]
	_, err := Parse("r.ini", []byte(text))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("got %v", err)
	}
	for _, line := range want {
		if !strings.Contains(err.Error()+"\n", line+"\n") {
			t.Errorf("no %q", line)
		}
	}
	// key_hashes may be reported a second time, as missing.
	if len(errs) > len(want)+1 {
		t.Errorf("%d errors, want %d:\n%v", len(errs), len(want), err)
	}
}

func TestOperatorKeysFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	_, second, err := config.NewKey(strings.NewReader(strings.Repeat("x", config.KeyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("# operators\n"+second+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys := OperatorKeys{
		Hashes: []string{hash},
		File:   path,
	}
	got, err := keys.KeyHashes()
	if err != nil || len(got) != 2 || got[1] != second {
		t.Fatalf("got %v, %v", got, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[router]\nvm = \"\"\"\n"))
	f.Add([]byte("[router]\nvm = a\\\n[listen]\n"))
	f.Add([]byte("\ufeff[a]\r\nb=c"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz", text)
		var errs Errors
		if err != nil && !errors.As(err, &errs) {
			t.Fatalf("not Errors: %v", err)
		}
		if err == nil && (s.Router.VM == "" || !s.Listen.Peers.IsValid()) {
			t.Fatalf("accepted without a name or an address: %+v", s)
		}
	})
}
