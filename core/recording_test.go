package core_test

import (
	"testing"
	"time"

	"waxwingwall/fake"
)

// TestSlowWitnessEndsNoRequest guards against requests that end because the record of
// their begin takes longer than an attempt may be idle: they have not even been sent.
func TestSlowWitnessEndsNoRequest(t *testing.T) {
	for seed := range uint64(6) {
		w, document, paid := startFleet(t, 3, seed, 10000)
		var clients []*fake.Client
		for _, n := range []int{1, 5, 7, 11} {
			c := &fake.Client{
				Request:  request(t, document, n),
				MaxTries: 1,
			}
			clients = append(clients, c)
			w.Submit(c)
		}
		for _, h := range w.Hosts {
			h.Paused = true
		}
		owners := 0
		for _, h := range w.Hosts {
			for _, c := range clients {
				if s := h.Node.Status(c.Request.Identity, c.Request.Spread); s.Known {
					h.Paused = false
					owners++
				}
			}
			if owners > 0 {
				break
			}
		}
		w.Run(700 * time.Millisecond)
		for _, h := range w.Hosts {
			if h.Paused {
				w.Resume(h)
			}
		}
		w.Run(3500 * time.Millisecond)
		if w.Returned > 0 {
			t.Errorf("seed %d: %d requests were given back before they ran", seed, w.Returned)
		}
		for _, c := range clients {
			for _, end := range w.Answers[c.Request.Identity] {
				if end.Problem != nil {
					t.Errorf("seed %d: %v ended: %+v", seed, c.Request.Identity, *end.Problem)
				}
			}
		}
		w.Run(10 * time.Second)
		w.Settle()
		w.Audit(clients, paid)
	}
}
