package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"waxwingwall"
	"waxwingwall/core/config"
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
				t.Parallel()
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

// TestOddConfigurationHead guards against a row of the current configuration that another
// writer left, and that keeps out the versions that follow after it is mended.
func TestOddConfigurationHead(t *testing.T) {
	digest := strings.Repeat("0", 64)
	for name, value := range map[string]string{
		"version too large":  `{"version":9223372036854775807,"digest":"` + digest + `"}`,
		"version of no one":  `{"version":1000000,"digest":"` + digest + `"}`,
		"next version":       `{"version":2,"digest":"` + digest + `"}`,
		"negative version":   `{"version":-9223372036854775808,"digest":"` + digest + `"}`,
		"fraction":           `{"version":1.5}`,
		"digest of a novel":  `{"version":2,"digest":"` + strings.Repeat("0", 100_000) + `"}`,
		"digest with a path": `{"version":2,"digest":"../../x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			w, _, _ := startFleet(t, 3, 1, 10000)
			key := config.CurrentKey(config.Production)
			sound := w.Rows[key]
			w.Rows[key] = waxwingwall.Row{Key: key, Version: sound.Version + 1_000_000, Value: value}
			w.Run(5 * time.Second)
			sound.Version += 2_000_000
			w.Rows[key] = sound
			w.Run(time.Second)
			w.Execute(config.NewChange(config.Request{
				Environment: config.Production,
				Text:        []byte(strings.Replace(fleetDocument, "worth = 10", "worth = 11", 1)),
				Author:      "fake",
				Time:        w.Now,
				ID:          "second",
				Base:        1,
			}))
			w.Run(30 * time.Second)
			for _, h := range w.Hosts {
				if d := h.Node.Watcher.Dump(); d.Head.Version != 2 {
					t.Errorf("%s has version %d, and knows of %d", h.VM, d.Head.Version, d.Known)
				}
			}
		})
	}
}
