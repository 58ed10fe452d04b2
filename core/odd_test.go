package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/fake"
)

// oddValues are contents that no router writes into any row.
var oddValues = map[string]string{
	"empty":    ``,
	"null":     `null`,
	"object":   `{}`,
	"list":     `[]`,
	"text":     `"x"`,
	"deep":     strings.Repeat(`{"a":[`, 30_000),
	"binary":   "\x00\xff\xfe",
	"number":   `1e300`,
	"odd ints": `{"version":9223372036854775807,"seq":-9223372036854775808,"owner":[9223372036854775807],"owners":["x"],"epoch":[-1],"slot":-1,"state":99,"claims":[{"slot":-5}],"log":[{}]}`,
	"no slots": `{"owners":[],"owner":[],"epoch":[]}`,
	"one slot": `{"owners":["vm0@1"],"owner":[0],"epoch":[9223372036854775807]}`,
}

// TestOddRowsOfTheTable guards against a row that another writer left and that crashes a
// router which reads it, or keeps it from serving after the row is mended.
func TestOddRowsOfTheTable(t *testing.T) {
	for name, value := range oddValues {
		w, _, _ := startFleet(t, 3, 1, 10000)
		keys := make([]string, 0, len(w.Rows))
		for key := range w.Rows {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			t.Run(fmt.Sprint(name, "/", key), func(t *testing.T) {
				w, document, _ := startFleet(t, 3, 1, 10000)
				sound := w.Rows[key]
				w.Rows[key] = waxwingwall.Row{Key: key, Version: sound.Version + 1_000_000, Value: value}
				w.Boot(w.Hosts[2])
				for n := range 6 {
					c := &fake.Client{
						Request:  request(t, document, n),
						MaxTries: 1,
					}
					w.After(time.Duration(n)*100*time.Millisecond, func() { w.Submit(c) })
				}
				w.Run(4 * time.Second)
				sound.Version += 2_000_000
				w.Rows[key] = sound
				w.Run(10 * time.Second)
				after := &fake.Client{
					Request:  request(t, document, 101),
					MaxTries: 3,
				}
				w.Submit(after)
				w.Run(15 * time.Second)
				if !after.Ran {
					t.Errorf("a request after the row is mended is not served: %v", after.Codes)
				}
			})
		}
	}
}
