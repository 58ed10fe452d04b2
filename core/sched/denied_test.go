package sched

import (
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/limit"
)

// TestDenialDelaysNextAsk guards against a router that asks for a permit without end, in one
// step, so that all its requests stay without an answer: a denial may name no delay, if others
// wait and a permit is free that they can't use.
func TestDenialDelaysNextAsk(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := New()
	s.SetRanks([]RankSpec{{FirstToken: time.Second}})
	s.SetEndpoints(now, []EndpointSpec{{
		Name:        "one",
		Models:      []waxwingwall.Model{"m"},
		Concurrency: 1,
	}})
	w := Work{
		Identity: waxwingwall.Identity{Key: "key"},
		Model:    "m",
	}
	if v := s.Offer(now, w); v.Decision == Refused {
		t.Fatal(v.Problem)
	}
	j := s.jobs[w.Identity]
	j.ask = 1
	s.asks[1] = j
	s.handleDenied(now, limit.Denied{ID: 1})
	if !j.askAfter.After(now) {
		t.Error("the job may ask again in the same step")
	}
}
