package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingwall"
	"waxwingwall/core/config/ini"
)

const sample = `
[limits]
max_output = 1000

[rank routine]
level = 1
floor = 0.2

[rank urgent]
level = 0
first_token = 420ms
floor = 0.5
worth = 10

[account small]
key_hashes =
rank = routine
budget = small-main

[budget small-main]
account = small

[endpoint m1]
address = 10.0.0.9:8000
kind = model
models = b, a
domain = d1
idempotent = true

[endpoint orders]
address = 10.0.0.9:8001
kind = service
models = order
domain = d1
idempotent = false
price = 5
`

func TestParse(t *testing.T) {
	d, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	if d.Ranks[0].Name != "urgent" || d.Limits.MaxOutput != 1000 {
		t.Fatalf("got %+v", d)
	}
	if e := d.Serving(ServiceKind, "order"); len(e) != 1 || e[0].Price != 5 || e[0].Idempotent {
		t.Fatalf("got %+v", e)
	}
	if e, ok := d.Endpoint("m1"); !ok || e.Models[0] != "a" {
		t.Fatalf("got %+v", e)
	}
}

func TestParseReportsEveryError(t *testing.T) {
	text := `[rank a]
level = 0
floor = 0.7
[rank b]
level = 0
floor = 0.7
[account x]
key_hashes = zz
rank = c
budget = y-main
weight = -1
[account y]
key_hashes =
rank = a
budget = gone
[budget y-main]
account = y
[budget z-main]
account = z
[endpoint e]
address = host:80
kind = disk
models =
domain = d
[account x]
spread = 0
[shelf]
`
	want := `4: [rank b] level: rank "a" has level 0 as well
6: [rank b] floor: floors up to this rank sum to 1.4, above 1
8: [account x] key_hashes: not a SHA-256 in lower-case hex
9: [account x] rank: no rank "c"
10: [account x] budget: budget "y-main" is of account "y"
11: [account x] weight: -1 is not within 1e-06 to 1e+06
15: [account y] budget: no budget "gone"
19: [budget z-main] account: no account "z"
20: [endpoint e] idempotent: missing
21: [endpoint e] address: "host:80" is not an IP number with a port
22: [endpoint e] kind: "disk" is not one of [model service]
23: [endpoint e] models: none given
25: [account x] section given twice
26: [account x] spread: 0 is not within 1 to 4096
27: [shelf] unknown section`
	want = strings.Replace(want, "4: [rank b] level", "5: [rank b] level", 1)
	_, err := Parse([]byte(text))
	var all Errors
	if !errors.As(err, &all) {
		t.Fatalf("got %v", err)
	}
	if err.Error() != want {
		t.Fatalf("got\n%v\nwant\n%v", err, want)
	}
}

// TestEndpointVersion guards against odd versions of endpoints in force, and against
// another text of a document that names none, which routers would exchange anew.
func TestEndpointVersion(t *testing.T) {
	long := strings.Repeat("v", ini.MaxNameBytes+1)
	for text, want := range map[string]string{
		"v1.1":   "",
		"7":      "",
		"v 1":    `[endpoint m1] version: "v 1" is not a name`,
		"v1, v2": `[endpoint m1] version: "v1, v2" is not a name`,
		long:     fmt.Sprintf("[endpoint m1] version: name of %d bytes, the maximum is %d", len(long), ini.MaxNameBytes),
	} {
		d, err := Parse([]byte(strings.Replace(sample, "models = b, a\n", "models = b, a\nversion = "+text+"\n", 1)))
		e, _ := d.Endpoint("m1")
		switch {
		case want == "" && (err != nil || e.Version != text):
			t.Errorf("%q: got %q, %v", text, e.Version, err)
		case want != "" && (err == nil || !strings.HasSuffix(err.Error(), want)):
			t.Errorf("%q: got %v, want %v", text, err, want)
		}
	}
	d, err := Parse([]byte(sample))
	if err != nil || strings.Contains(d.String(), "version") {
		t.Errorf("got %v, %v", d, err)
	}
}

func TestKeys(t *testing.T) {
	key, hash, err := NewKey(strings.NewReader(strings.Repeat("r", KeyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	d := Document{
		Accounts: []Account{
			{
				Name:      "a",
				KeyHashes: []string{HashKey("other")},
			},
			{
				Name:      "b",
				KeyHashes: []string{hash},
			},
		},
	}
	if a, ok := MatchKey(&d, key); !ok || a != "b" {
		t.Fatalf("got %q, %v", a, ok)
	}
	if a, ok := d.KeyTable().Match(key); !ok || a != "b" {
		t.Fatalf("table: got %q, %v", a, ok)
	}
	if _, ok := MatchKey(&d, hash); ok {
		t.Fatal("the hash was accepted as a key")
	}
	if !VerifyKey(key, hash) || VerifyKey(key+"x", hash) {
		t.Fatal("VerifyKey")
	}
}

// drawDocument draws a valid document, sorted like the result of Parse.
func drawDocument(t *rapid.T) Document {
	d := Document{
		Limits: Limits{
			MaxPrompt:     waxwingwall.Tokens(rapid.Int64Range(1, 1e6).Draw(t, "prompt")),
			MaxOutput:     1000,
			DefaultOutput: waxwingwall.Tokens(rapid.Int64Range(1, 1000).Draw(t, "output")),
			BodyTimeout:   time.Duration(rapid.Int64Range(1, 1e4).Draw(t, "body")) * time.Millisecond,

			EvacuatedDomains: rapid.SampledFrom([]string{"", "east", "east, west"}).Draw(t, "evacuated"),
		},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "ranks") {
		d.Ranks = append(d.Ranks, Rank{
			Name:          fmt.Sprintf("rank%d", i),
			Level:         waxwingwall.Rank(i),
			FirstToken:    time.Duration(rapid.Int64Range(1, 1e6).Draw(t, "first")) * time.Millisecond,
			BetweenTokens: 65 * time.Millisecond,
			Floor:         rapid.Float64Range(0, 0.25).Draw(t, "floor"),
			Worth:         rapid.Float64Range(0, 1000).Draw(t, "worth"),
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "accounts") {
		name := fmt.Sprintf("account%d", i)
		sum := sha256.Sum256([]byte(name))
		d.Accounts = append(d.Accounts, Account{
			Name:      waxwingwall.Account(name),
			KeyHashes: []string{hex.EncodeToString(sum[:])},
			Rank:      "rank0",
			Budget:    waxwingwall.Budget("budget-" + name),
			Weight:    rapid.Float64Range(0.1, 100).Draw(t, "weight"),
			Spread:    rapid.IntRange(1, 8).Draw(t, "spread"),
		})
		d.Budgets = append(d.Budgets, Budget{
			Name:    waxwingwall.Budget("budget-" + name),
			Account: waxwingwall.Account(name),
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "endpoints") {
		d.Endpoints = append(d.Endpoints, Endpoint{
			Name:        waxwingwall.Endpoint(fmt.Sprintf("endpoint%d", i)),
			Address:     netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i)),
			Kind:        ModelKind,
			Models:      []waxwingwall.Model{"m"},
			Domain:      "d1",
			Fencing:     rapid.Bool().Draw(t, "fencing"),
			Idempotent:  rapid.Bool().Draw(t, "idempotent"),
			Concurrency: rapid.IntRange(1, 100).Draw(t, "concurrency"),
			TokenRate:   rapid.Float64Range(0.1, 1000).Draw(t, "rate"),
			Version:     rapid.SampledFrom([]string{"", "v1", "v1.1", "2026-01-01"}).Draw(t, "version"),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
		})
	}
	return d
}

func TestMarshalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		parsed, err := Parse(d.Marshal())
		if err != nil {
			t.Fatalf("%v\n%s", err, d)
		}
		if !reflect.DeepEqual(parsed, d) {
			t.Fatalf("got %+v\nwant %+v", parsed, d)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[account a]\nkey_hashes = ,\n"))
	f.Add([]byte("[rank r]\nlevel = 0\nfloor = NaN\n"))
	f.Add([]byte("[limits]\r\nbody_timeout = 1m # long\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		parsed, err := Parse(d.Marshal())
		if err != nil {
			t.Fatalf("%v\n%s", err, d)
		}
		if parsed.Digest() != d.Digest() {
			t.Fatalf("changed:\n%s\nto\n%s", d, parsed)
		}
	})
}
