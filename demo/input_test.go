package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/demo"
	"waxwingwall/sim"
)

// TestBadInput checks that each kind of invalid request is answered with its own
// status and code and with outcome not_run, and that none is billed.
func TestBadInput(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, stop, err := demo.Start(ctx, demo.WithBodyTimeout(300*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	chat := func(model string, tokens int, text string) string {
		return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
	}
	const chats, orders = "/v1/chat/completions", "/v1/services/" + demo.OrderService
	for _, c := range []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"malformed JSON", chats, demo.CallerKey, `{"model":`, 400, "bad_request"},
		{"no messages", chats, demo.CallerKey, `{"model":"small","messages":[]}`, 400, "bad_request"},
		{"unknown role", chats, demo.CallerKey, `{"model":"small","messages":[{"role":"boss","content":"hi"}]}`, 400, "bad_request"},
		{"unknown model", chats, demo.CallerKey, chat("huge", 5, "hi"), 404, "unknown_model"},
		{"unknown service", "/v1/services/none", demo.CallerKey, `{"body":"x"}`, 404, "unknown_service"},
		{"wrong key", chats, "wrong", chat("small", 5, "hi"), 401, "wrong_key"},
		{"no key", orders, "", `{"body":"x"}`, 401, "missing_key"},
		{"long prompt", chats, demo.CallerKey, chat("small", 5, strings.Repeat("x", 16001)), 413, "prompt_too_long"},
		{"negative limit", chats, demo.CallerKey, chat("small", -1, "hi"), 400, "bad_request"},
		{"excessive limit", chats, demo.CallerKey, chat("small", 2001, "hi"), 400, "bad_max_tokens"},
	} {
		status, answer := call(ctx, t, http.DefaultClient, http.MethodPost, "http://"+fleet.CallerAddresses()[0]+c.path, c.key, []byte(c.body))
		if status != c.status || !strings.Contains(answer, `"code":"`+c.code+`"`) || !strings.Contains(answer, `"outcome":"not_run"`) {
			t.Errorf("%s: status %d, %s; want %d, %s", c.name, status, answer, c.status, c.code)
		}
	}
	if answer := sendPartialBody(t, fleet.CallerAddresses()[0]); !strings.Contains(answer, "408") || !strings.Contains(answer, "body_timeout") {
		t.Errorf("stalled body: %s", answer)
	}
	bills, err := fleet.Bills(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(bills) > 0 {
		t.Errorf("bad requests were billed: %v", bills)
	}
}

// sendPartialBody sends a request with an incomplete body and returns the answer.
func sendPartialBody(t *testing.T, addr string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{", demo.CallerKey)
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

// TestBodyTimeoutDoesNotLimitStream checks that the body timeout applies to the body
// of the request and not to the answer.
func TestBodyTimeoutDoesNotLimitStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, stop, err := demo.Start(ctx, demo.WithBodyTimeout(200*time.Millisecond), demo.WithEngine(sim.EngineConfig{
		TokenTime: 20 * time.Millisecond,
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	chat := demo.NewChatRequest("a long answer tokens=40", true)
	body, err := json.Marshal(chat)
	if err != nil {
		t.Fatal(err)
	}
	status, answer := call(ctx, t, http.DefaultClient, http.MethodPost, "http://"+fleet.CallerAddresses()[0]+"/v1/chat/completions", demo.CallerKey, body)
	if status != http.StatusOK || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		t.Errorf("status %d, %s", status, answer)
	}
}
