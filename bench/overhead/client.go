package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/demo"
	"waxwingwall/io/endpoint"
	"waxwingwall/sim"
)

// pathClient sends the request on one path. Its HTTP client keeps connections
// alive.
type pathClient struct {
	path   Path
	url    string
	client *http.Client
	body   []byte
	answer string
}

// newPathClients returns one client per path, in the order of Paths. The bodies
// are equivalent; that of Direct also has the fields that a router adds.
func newPathClients(tokens int, engine, owner, other string) []pathClient {
	prompt := fmt.Sprintf("Which glass is right for a 60 cm cube? tokens=%d", tokens)
	chat := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true`, demo.Model, prompt, tokens)
	answer := sim.Answer([]sim.Message{{
		Role:    "user",
		Content: prompt,
	}}, tokens)
	addresses := []string{engine, owner, other}
	var clients []pathClient
	for i, path := range Paths() {
		body := chat + "}"
		if path == Direct {
			body = chat + `,"stream_options":{"include_usage":true,"continuous_usage_stats":true}}`
		}
		clients = append(clients, pathClient{
			path: path,
			url:  "http://" + addresses[i] + "/v1/chat/completions",
			client: &http.Client{
				Transport: &http.Transport{
					MaxIdleConnsPerHost: engineBatch,
				},
			},
			body:   []byte(body),
			answer: answer,
		})
	}
	return clients
}

// run sends the request and returns the times from the call to the first token
// and to the end of the stream.
func (c pathClient) run(ctx context.Context, n int) (first, end time.Duration, err error) {
	req, err := c.request(ctx, n)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, 0, trace.Errorf("status %d: %s", resp.StatusCode, text)
	}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		elapsed := time.Since(start)
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		delta := demo.Delta(event)
		if first == 0 && delta != "" {
			first = elapsed
		}
		text.WriteString(delta)
	}
	end = time.Since(start)
	if err := lines.Err(); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	if text.String() != c.answer {
		return 0, 0, trace.Errorf("incomplete or wrong answer: %q", text.String())
	}
	return first, end, nil
}

func (c pathClient) request(ctx context.Context, n int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	if c.path != Direct {
		req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
		return req, nil
	}
	key := "direct-" + strconv.Itoa(n)
	req.Header.Set(endpoint.HeaderAttempt, key)
	req.Header.Set(endpoint.HeaderIdentity, endpoint.IdentityHeader(waxwingwall.Identity{
		Account: "demo",
		Key:     key,
	}))
	req.Header.Set(endpoint.HeaderPriority, "1")
	return req, nil
}
