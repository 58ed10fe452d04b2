package waxwingwall_test

import (
	"math"
	"testing"

	"waxwingwall"
)

// TestParseIncarnation guards against texts that are no incarnation and are taken for one.
func TestParseIncarnation(t *testing.T) {
	for _, i := range []waxwingwall.Incarnation{{VM: "vm-1", Boot: 1}, {VM: "a@b", Boot: 1_800_000_000_000}, {VM: "v", Boot: 0}} {
		if got, err := waxwingwall.ParseIncarnation(i.String()); err != nil || got != i {
			t.Errorf("%v: %v, %v", i, got, err)
		}
	}
	for _, text := range []string{
		"", "vm", "@1", "vm@", "vm@x", "vm@1x", "vm@+1", "vm@-1", "vm@01", "vm@ 1", "vm@1 ", "vm@1\n", "vm@1.5", "vm@1e3", "vm@0x1",
		"vm@9223372036854775808", "vm@-9223372036854775808", waxwingwall.Incarnation{VM: "vm", Boot: math.MaxInt64}.String(),
	} {
		if got, err := waxwingwall.ParseIncarnation(text); err == nil {
			t.Errorf("%q was taken for %+v", text, got)
		}
	}
}
