package caller_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/io/caller"
)

// faultyRouter is a router whose answers panic at a given call of Next; at 0, Serve panics.
type faultyRouter struct {
	waxwingwall.CallerAPI
	at int
}

func (faultyRouter) Account(string) (waxwingwall.Account, error) { return "shop", nil }
func (faultyRouter) BodyTimeout() time.Duration                  { return time.Minute }

func (r faultyRouter) Serve(context.Context, waxwingwall.Account, waxwingwall.CallerRequest) (waxwingwall.Answer, error) {
	if r.at == 0 {
		panic("odd request")
	}
	return &faultyAnswer{left: r.at}, nil
}

type faultyAnswer struct {
	left int
}

func (a *faultyAnswer) ID() string { return "key" }
func (a *faultyAnswer) Close()     {}

func (a *faultyAnswer) Next(context.Context) (waxwingwall.Frames, error) {
	if a.left--; a.left == 0 {
		panic("odd frame")
	}
	return waxwingwall.Frames{
		Frames: []waxwingwall.Frame{{Text: "a "}},
	}, nil
}

// TestPanicIsAnsweredAndLogged guards against a whole request whose connection is closed
// without an answer and without a line in the log, or that ends the process, because its
// handler panics.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	for at, stream := range map[int]bool{0: false, 1: true, 2: false, 3: true} {
		var lines bytes.Buffer
		log := logrus.New()
		log.SetOutput(&lines)
		handler, err := caller.New(faultyRouter{at: at}, caller.WithLog(logrus.NewEntry(log)))
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(handler)
		text := ask(t, server.URL, stream)
		server.Close()
		if !strings.Contains(text, `"code":"internal"`) || !strings.Contains(text, `"outcome":"unknown"`) {
			t.Errorf("panic at %d, stream %t: answered %q", at, stream, text)
		}
		if !strings.Contains(lines.String(), "handler_panicked") || !strings.Contains(lines.String(), "odd") {
			t.Errorf("panic at %d, stream %t: log %q", at, stream, lines.String())
		}
	}
}

// ask sends a request and returns its answer, or the error.
func ask(t *testing.T, url string, stream bool) string {
	t.Helper()
	body := `{"model":"drafts","messages":[{"role":"user","content":"a"}]`
	if stream {
		body += `,"stream":true`
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body+"}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer key")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
