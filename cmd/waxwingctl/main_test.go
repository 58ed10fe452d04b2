package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/io/operator"
	"waxwingwall/sim"
)

const document = `# of the test
[rank urgent]
level = 0
[account shop]
key_hashes =
rank = urgent
budget = shop-main
[budget shop-main]
account = shop
[endpoint m1]
address = 127.0.0.1:9000
kind = model
models = a
domain = d1
idempotent = true
`

// cli runs commands with fixed global options.
type cli struct {
	t        *testing.T
	platform string
	author   string
	router   string
	keyFile  string
}

// run executes a command and returns its output and exit status.
func (o cli) run(args ...string) (string, int) {
	o.t.Helper()
	var out bytes.Buffer
	a := &app{
		out: &out,
		now: time.Now,
	}
	args = append([]string{"--platform", o.platform, "--author", o.author}, args...)
	if o.router != "" {
		args = append(args, "--router", o.router, "--key-file", o.keyFile)
	}
	err := a.run(args)
	if err != nil {
		out.WriteString(message(err))
	}
	return out.String(), status(err)
}

// want fails the test unless the command exits with code and its output
// contains text.
func (o cli) want(code int, text string, args ...string) {
	o.t.Helper()
	out, got := o.run(args...)
	if got != code || !strings.Contains(out, text) {
		o.t.Fatalf("%v: status %d, want %d with %q:\n%s", args, got, code, text, out)
	}
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newWorld(t *testing.T) (*sim.World, cli) {
	t.Helper()
	w, stop, err := sim.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return w, cli{
		t:        t,
		platform: w.Platform.URL(),
		author:   "ana",
	}
}

func TestConfiguration(t *testing.T) {
	_, ana := newWorld(t)
	luis := ana
	luis.author = "luis"
	first := file(t, document)
	second := file(t, strings.Replace(document, "rank = urgent", "rank = urgent\nweight = 3", 1))

	ana.want(exitDone, "1 accounts", "config", "check", first)
	ana.want(exitUsage, `[account shop] rank: no rank "none"`, "config", "check", file(t, strings.Replace(document, "= urgent", "= none", 1)))
	ana.want(exitRefused, "no such version", "config", "show")
	ana.want(exitDone, "+ [limits]\n+ [rank urgent]\nversion 1 is in force in trial", "config", "try", first)
	ana.want(exitDone, "version 1 is in force in production", "config", "promote", "1", "-m", "first")
	ana.want(exitDone, "# of the test", "config", "show")
	ana.want(exitRefused, "same text", "config", "promote", "1")
	ana.want(exitDone, `[account shop] weight: "1" -> "3"`, "config", "try", second)
	luis.want(exitRefused, "version 2 of ana", "config", "try", "--base", "1", first)
	luis.want(exitRefused, "was tried", "config", "promote", "7")
	luis.want(exitDone, "version 2 is in force", "config", "promote", "2", "--base", "1")
	luis.want(exitDone, "luis", "config", "history")
	ana.want(exitDone, "shop-main", "account", "list")
	ana.want(exitDone, `"idempotent": true`, "--json", "endpoint", "list")

	ana.want(exitDone, "texts of 1 versions", "config", "prune", "--keep", "0")
	ana.want(exitRefused, "was deleted", "config", "show", "--version", "1")

	out, _ := ana.run("--json", "config", "show")
	var doc config.Document
	if err := json.Unmarshal([]byte(out), &doc); err != nil || doc.Accounts[0].Weight != 3 {
		t.Fatalf("%v in %s", err, out)
	}
}

func TestBudget(t *testing.T) {
	w, ana := newWorld(t)
	ana.want(exitRefused, "has no budget", "budget", "top-up", "shop-main", "100")
	ana.want(exitDone, "", "config", "try", file(t, document))
	ana.want(exitDone, "", "config", "promote", "1")
	ana.want(exitDone, "total 100, pool 100", "budget", "top-up", "shop-main", "100", "--id", "invoice-1")
	ana.want(exitDone, "total 100, pool 100", "budget", "top-up", "shop-main", "100", "--id", "invoice-1")
	ana.want(exitRefused, "invoice-1", "budget", "top-up", "shop-main", "50", "--id", "invoice-1")
	ana.want(exitUsage, "more than 0", "budget", "top-up", "shop-main", "0")
	ana.want(exitDone, `"total": 107`, "--json", "budget", "top-up", "shop-main", "7")
	ana.want(exitDone, "107", "budget", "show")
	ana.want(exitRefused, "never topped up", "budget", "show", "other")
	lost := sim.Fault{
		Target: "platform",
		Kind:   sim.Lose,
		Count:  1,
	}
	if err := w.Inject(lost); err != nil {
		t.Fatal(err)
	}
	ana.want(exitDone, "total 108,", "budget", "top-up", "shop-main", "1")
	outage := sim.Fault{
		Target: "platform",
		Kind:   sim.Outage,
	}
	if err := w.Inject(outage); err != nil {
		t.Fatal(err)
	}
	ana.want(exitUnavailable, "unavailable", "budget", "top-up", "--new", "--timeout", "300ms", "shop-main", "1")
}

func TestUsage(t *testing.T) {
	_, ana := newWorld(t)
	ana.want(exitUsage, "unknown flag", "config", "show", "--colour")
	ana.want(exitUsage, "no --router", "dump")
	ana.want(exitUsage, "no such file", "config", "check", "/nowhere/file")
	ana.platform = "http://platform:80"
	ana.want(exitUsage, "not an IP number", "account", "list")
	ana.platform = "http://127.0.0.1:1"
	ana.want(exitUnavailable, "unavailable", "account", "list")
	ana.want(exitDone, "config", "--help")
	out, _ := ana.run("--json", "key", "new")
	var result newKey
	if err := json.Unmarshal([]byte(out), &result); err != nil || !config.VerifyKey(result.Key, result.Hash) {
		t.Fatalf("%v in %s", err, out)
	}
}

// fakeOperator is a waxwingwall.OperatorAPI that records drains.
type fakeOperator struct {
	drained  bool
	endpoint waxwingwall.Endpoint
}

func (d *fakeOperator) IsOperator(key string) bool { return key == "secret" }

func (d *fakeOperator) Drain(context.Context) error {
	d.drained = true
	return nil
}

func (d *fakeOperator) DrainEndpoint(_ context.Context, e waxwingwall.Endpoint) error {
	d.endpoint = e
	return nil
}

func (d *fakeOperator) Dump(context.Context) ([]byte, error) {
	return []byte(`{"config":{"environment":"trial","head":{"version":1}},` +
		`"members":{"self":{"incarnation":{"vm":"vm-1","boot":5}}}}`), nil
}

func TestRouter(t *testing.T) {
	_, ana := newWorld(t)
	d := &fakeOperator{}
	h, err := operator.New(d, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	ana.router = s.URL
	ana.keyFile = file(t, "secret\n")
	ana.want(exitDone, `"vm": "vm-1"`, "dump")
	ana.want(exitRefused, "is vm-1, not vm-2", "vm", "drain", "vm-2")
	ana.want(exitDone, "vm-1 begins to drain", "vm", "drain", "vm-1")
	ana.want(exitDone, "m1", "endpoint", "drain", "m1")
	if !d.drained || d.endpoint != "m1" {
		t.Fatalf("got %+v", d)
	}
	ana.want(exitDone, "in force on vm-1", "config", "try", file(t, document))
	ana.want(exitUnavailable, "still has version 1", "config", "try", "--wait", "50ms",
		file(t, strings.Replace(document, "of the test", "again", 1)))
	ana.keyFile = file(t, "wrong")
	ana.want(exitRefused, "refused", "dump")
	ana.router = "http://127.0.0.1:1"
	ana.want(exitUnavailable, "unavailable", "dump")
}

// TestTrace checks that trace prints the path and the cause of a request, and
// that missing files are a usage error.
func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.log")
	text := `{"code":"no_endpoint","level":"info","msg":"refused","request":"a","status":503,"time":"2026-10-20T21:33:49.8Z","vm":"edge-1"}` + "\nnonsense\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o := cli{
		t:        t,
		platform: "http://127.0.0.1:1",
	}
	out, status := o.run("trace", "--request", "a", path)
	if status != exitDone || !strings.Contains(out, "edge-1 refused") || !strings.Contains(out, "1 lines could not be read") || !strings.Contains(out, "refused as no_endpoint") {
		t.Errorf("%d: %s", status, out)
	}
	if _, status := o.run("trace", "--request", "a"); status != exitUsage {
		t.Errorf("status %d without files", status)
	}
}
