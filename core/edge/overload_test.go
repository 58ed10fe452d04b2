package edge

import (
	"testing"
	"time"

	"waxwingwall"
)

// TestOverloadLine guards against an overloaded link that shows in no line: engineers on call
// need its begin, its end and the account that asks for most.
func TestOverloadLine(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := New(waxwingwall.Incarnation{VM: "vm-1", Boot: 1}, RouterInfo{
		LinkMbps: 20,
	})
	var lines []LogEntry
	step := func(part float64, d time.Duration) {
		now = now.Add(d)
		for _, a := range e.Step(now, CallerLoad{LinkPart: part}) {
			if l, ok := a.(LogEntry); ok && l.Event == "overloaded" {
				lines = append(lines, l)
			}
		}
	}
	step(overloadedPart, 0)
	step(overloadedPart, overloadTime/2)
	step(0, 0)
	step(overloadedPart, 0)
	step(overloadedPart, overloadTime/2)
	if len(lines) != 0 {
		t.Fatalf("a burst was logged: %v", lines)
	}
	step(overloadedPart, overloadTime/2)
	step(2, overloadTime)
	step(0, overloadTime)
	if len(lines) != 2 || lines[0].Fields[0].Value != true || lines[1].Fields[0].Value != false {
		t.Errorf("want a line at the begin and one at the end: %v", lines)
	}
}

// TestSlowProcessorOverload guards against callers that keep the processor of a VM busy while its link
// has room: it stands still and runs by turns, and nothing waits for long while it runs.
func TestSlowProcessorOverload(t *testing.T) {
	for _, c := range []struct {
		load CallerLoad
		want bool
	}{
		{load: CallerLoad{LinkPart: loadedPart, Wait: overloadedWait}, want: true},
		{load: CallerLoad{LinkPart: loadedPart, Wait: overloadedWait - 1}},
		{load: CallerLoad{LinkPart: loadedPart / 2, Wait: time.Second}},
	} {
		now := time.Unix(1_800_000_000, 0)
		e := New(waxwingwall.Incarnation{VM: "vm-1", Boot: 1}, RouterInfo{})
		for range 3 {
			e.Step(now, c.load)
			e.Step(now.Add(overloadedWait/4), CallerLoad{LinkPart: c.load.LinkPart})
			now = now.Add(4 * overloadedWait)
		}
		if got := e.overloaded(); got != c.want {
			t.Errorf("%+v: overloaded %v", c.load, got)
		}
	}
}
