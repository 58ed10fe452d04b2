package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"waxwingwall/demo"
)

type demoCommand struct{}

// demoTimeout limits the duration of the demo.
const demoTimeout = time.Minute

// chatRequest is one request of the demo.
type chatRequest struct {
	rank, prompt string
}

// Execute implements flags.Commander.
func (*demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fleet, stop, err := demo.Start(ctx)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println("three routers serve at", strings.Join(fleet.CallerAddresses(), ", "))
	requests := []chatRequest{
		{rank: "urgent", prompt: "Quote a 200 litre tank with a low-iron front. tokens=12"},
		{rank: "routine", prompt: "Which glass is right for a 60 cm cube? tokens=16"},
		{rank: "batch", prompt: "Summarise the sump layouts of this year. tokens=24"},
	}
	for i, req := range requests {
		if err := streamChat(ctx, fleet, i, req); err != nil {
			return err
		}
	}
	if err := placeOrder(ctx, fleet); err != nil {
		return err
	}
	return printBills(ctx, fleet)
}

// streamChat sends one chat request to a router and prints the tokens as they
// arrive.
func streamChat(ctx context.Context, fleet *demo.Fleet, i int, req chatRequest) error {
	body, err := json.Marshal(demo.NewChatRequest(req.prompt, true))
	if err != nil {
		return err
	}
	resp, err := post(ctx, fleet, i, "/v1/chat/completions", req.rank, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Printf("%-8s ", req.rank)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || text == "[DONE]" {
			continue
		}
		fmt.Print(demo.Delta(text))
	}
	fmt.Println()
	return lines.Err()
}

// placeOrder sends one order twice with the same key and prints how often it
// ran.
func placeOrder(ctx context.Context, fleet *demo.Fleet) error {
	for i := range 2 {
		resp, err := post(ctx, fleet, i, "/v1/services/"+demo.OrderService, "urgent", []byte(`{"body":"40 loaves for van 3"}`))
		if err != nil {
			return err
		}
		data, err := io.ReadAll(resp.Body)
		if closeErr := resp.Body.Close(); closeErr != nil {
			return closeErr
		}
		if err != nil {
			return err
		}
		fmt.Printf("order    router %d: %s\n", i+1, bytes.TrimSpace(data))
	}
	fmt.Printf("order    ran %d time(s) at the service\n", fleet.ServiceCalls())
	return nil
}

func post(ctx context.Context, fleet *demo.Fleet, i int, path, rank string, body []byte) (*http.Response, error) {
	callers := fleet.CallerAddresses()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers[i%len(callers)]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	req.Header.Set("Waxwing-Rank", rank)
	if strings.Contains(path, "/services/") {
		req.Header.Set("Idempotency-Key", "demo-order-1")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, data)
	}
	return resp, nil
}

// printBills waits until all requests are billed and prints the bills.
func printBills(ctx context.Context, fleet *demo.Fleet) error {
	rows, err := fleet.Bills(ctx)
	if err != nil {
		return err
	}
	fmt.Println("bills in the platform's table:")
	for _, b := range rows {
		fmt.Printf("  %-40s %-8s %4d tokens  %s\n", b.Identity.Key, b.Budget, b.Tokens, b.Outcome)
	}
	return nil
}
