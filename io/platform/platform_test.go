package platform_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"waxwingwall"
	"waxwingwall/io/platform"
	"waxwingwall/sim"
)

func newWorld(t *testing.T) (*sim.World, *platform.Client) {
	t.Helper()
	w, stop, err := sim.New(sim.WithMembers(waxwingwall.Member{
		VM:      "vm-1",
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
		Domain:  "a",
		Leaving: true,
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c, closeClient, err := platform.New(w.Platform.URL(), platform.WithTimeout(200*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	return w, c
}

func TestTransact(t *testing.T) {
	_, c := newWorld(t)
	ctx := t.Context()
	put := func(key, value string, expect int64) ([]int64, error) {
		return c.Transact(ctx, []waxwingwall.Write{{
			Key:    key,
			Value:  value,
			Expect: expect,
		}, {
			Key:       "other",
			CheckOnly: true,
		}})
	}
	v, err := put("a", "1", 0)
	if err != nil || v[0] == 0 || v[1] != 0 {
		t.Fatal(v, err)
	}
	if _, err := put("a", "2", 0); !errors.Is(err, waxwingwall.ErrConflict) {
		t.Fatal(err)
	}
	if row, err := c.Get(ctx, "a"); err != nil || row.Value != "1" || row.Version != v[0] {
		t.Fatal(row, err)
	}
	if _, err := c.Transact(ctx, []waxwingwall.Write{{
		Key:    "a",
		Expect: v[0],
		Delete: true,
	}}); err != nil {
		t.Fatal(err)
	}
	again, err := put("a", "3", 0)
	if err != nil || again[0] <= v[0] {
		t.Fatal("the version of a deleted row was reused", again, err)
	}
}

func TestLostAnswer(t *testing.T) {
	w, c := newWorld(t)
	if err := w.Inject(sim.Fault{
		Target: "platform",
		Kind:   sim.Lose,
		Count:  1,
	}); err != nil {
		t.Fatal(err)
	}
	_, err := c.Transact(t.Context(), []waxwingwall.Write{{
		Key:   "a",
		Value: "1",
	}})
	if !errors.Is(err, waxwingwall.ErrUnavailable) {
		t.Fatal(err)
	}
	if row, err := c.Get(t.Context(), "a"); err != nil || row.Value != "1" {
		t.Fatal("the write was not applied", row, err)
	}
	if n := w.Audit.Report().TableWrites; n != 1 {
		t.Fatal("write repeated:", n)
	}
}

func TestOutage(t *testing.T) {
	for _, kind := range []sim.FaultKind{sim.Outage, sim.Freeze, sim.Silence, sim.Crash} {
		t.Run(string(kind), func(t *testing.T) { testOutage(t, kind) })
	}
}

func testOutage(t *testing.T, kind sim.FaultKind) {
	w, c := newWorld(t)
	// Leave an idle connection open for the Silence fault.
	if _, err := c.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if err := w.Inject(sim.Fault{
		Target:  "platform",
		Kind:    kind,
		DelayMS: int(time.Hour / time.Millisecond),
	}); err != nil {
		t.Fatal(err)
	}
	_, err := c.Transact(t.Context(), []waxwingwall.Write{{
		Key:    "a",
		Expect: waxwingwall.AnyVersion,
	}})
	if !errors.Is(err, waxwingwall.ErrUnavailable) {
		t.Fatal(err)
	}
	// The Silence fault affects only connections that were open.
	if _, err := c.ListMembers(t.Context()); errors.Is(err, waxwingwall.ErrUnavailable) == (kind == sim.Silence) {
		t.Fatal(err)
	}
	if n := w.Audit.Report().TableWrites; n != 0 {
		t.Fatal("written during an outage:", n)
	}
}

// TestSilentConnections checks that, with many open connections that have all
// stopped responding, one call fails rather than one per connection.
func TestSilentConnections(t *testing.T) {
	w, c := newWorld(t)
	inject := func(f sim.Fault) {
		t.Helper()
		f.Target = "platform"
		if err := w.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
	// Slow answers make each read use a connection of its own.
	inject(sim.Fault{
		Kind:    sim.Slow,
		DelayMS: 20,
	})
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			_, err := c.Get(t.Context(), "a")
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	inject(sim.Fault{
		Kind: sim.Heal,
	})
	inject(sim.Fault{
		Kind: sim.Silence,
	})
	if _, err := c.Get(t.Context(), "a"); !errors.Is(err, waxwingwall.ErrUnavailable) {
		t.Fatal("the call on a silent connection did not fail", err)
	}
	if _, err := c.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
}

func TestListObjectsMembers(t *testing.T) {
	_, c := newWorld(t)
	const rows = 2500
	for from := 0; from < rows; from += 500 {
		var writes []waxwingwall.Write
		for i := from; i < from+500; i++ {
			writes = append(writes, waxwingwall.Write{
				Key: fmt.Sprintf("row/%05d", i),
			})
		}
		if _, err := c.Transact(t.Context(), append(writes, waxwingwall.Write{
			Key:    "rox",
			Expect: waxwingwall.AnyVersion,
		})); err != nil {
			t.Fatal(err)
		}
	}
	got, err := c.List(t.Context(), "row/")
	if err != nil || len(got) != rows || got[rows-1].Key != "row/02499" {
		t.Fatal(len(got), err)
	}
	o := c.ObjectStore()
	if _, err := o.Get(t.Context(), "k"); !trace.IsNotFound(err) {
		t.Fatal(err)
	}
	if err := o.Put(t.Context(), "k", []byte{0, 255}); err != nil {
		t.Fatal(err)
	}
	if data, err := o.Get(t.Context(), "k"); err != nil || !bytes.Equal(data, []byte{0, 255}) {
		t.Fatal(data, err)
	}
	ms, err := c.ListMembers(t.Context())
	if err != nil || len(ms) != 1 || !ms[0].Leaving || ms[0].Address.Port() != 9 {
		t.Fatal(ms, err)
	}
}
