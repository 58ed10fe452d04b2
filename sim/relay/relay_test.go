package relay_test

import (
	"context"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/io/platform"
	"waxwingwall/sim"
	"waxwingwall/sim/relay"
)

func TestRelay(t *testing.T) {
	w, stop, err := sim.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	r, stopRelay, err := relay.New(w.Platform.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopRelay)
	c, closeClient, err := platform.New("http://"+r.Address().String(), platform.WithTimeout(200*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	write := func() error {
		_, err := c.Transact(context.Background(), []waxwingwall.Write{{
			Key:    "a",
			Expect: waxwingwall.AnyVersion,
		}})
		return err
	}
	// expect sets a state, writes a row, and checks whether the write was answered
	// and how many writes the platform has committed in total.
	expect := func(state relay.State, answered bool, writes int) {
		t.Helper()
		r.Set(state)
		if err := write(); (err == nil) != answered {
			t.Fatal(state, err)
		}
		if n := w.Audit.Report().TableWrites; n != writes {
			t.Fatal(state, "writes:", n)
		}
	}
	expect(relay.Open, true, 1)
	expect(relay.Cut, false, 1)
	expect(relay.Open, true, 2)
	expect(relay.Silent, false, 2)
	expect(relay.OneWay, false, 3)
	expect(relay.Open, true, 4)
}
