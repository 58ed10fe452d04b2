package edge

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"waxwingwall"
)

// soundNode is the content of the row of another router.
const soundNode = `{"peers":"10.0.0.2:1","callers":"10.0.0.2:2","domain":"d","link":100}`

// TestOddNodeRows guards against rows of the directory of routers that another writer left:
// none may crash a router, make it a new incarnation without end, or hide the other rows.
func TestOddNodeRows(t *testing.T) {
	type row struct{ key, value string }
	rows := map[string]row{
		"boot of this router too large": {fmt.Sprintf("node/vm-1@%d", int64(math.MaxInt64)), soundNode},
		"boot too large":                {fmt.Sprintf("node/vm-3@%d", int64(math.MaxInt64)), soundNode},
		"boot overflows":                {"node/vm-1@9223372036854775808", soundNode},
		"negative boot":                 {"node/vm-3@-9223372036854775808", soundNode},
		"rest after boot":               {"node/vm-1@99x", soundNode},
		"signed boot":                   {"node/vm-1@+99", soundNode},
		"no boot":                       {"node/vm-1@", soundNode},
		"no VM":                         {"node/@99", soundNode},
		"long VM":                       {"node/" + strings.Repeat("v", 50_000) + "@9", `{`},
		"slash":                         {"node/vm-3/4@99", `{`},
		"null":                          {"node/vm-3@9", `null`},
		"empty":                         {"node/vm-3@9", ``},
		"no fields":                     {"node/vm-3@9", `{}`},
		"deep":                          {"node/vm-3@9", strings.Repeat("[", 50_000)},
		"other types":                   {"node/vm-3@9", `{"peers":7}`},
		"port 0":                        {"node/vm-3@9", strings.Replace(soundNode, "10.0.0.2:1", "10.0.0.3:0", 1)},
		"unspecified":                   {"node/vm-3@9", strings.Replace(soundNode, "10.0.0.2:1", "0.0.0.0:1", 1)},
		"multicast":                     {"node/vm-3@9", strings.Replace(soundNode, "10.0.0.2:1", "224.0.0.1:1", 1)},
		"no address for callers":        {"node/vm-3@9", strings.Replace(soundNode, "10.0.0.2:2", "", 1)},
		"negative link":                 {"node/vm-3@9", strings.Replace(soundNode, "100", "-100", 1)},
		"link too large":                {"node/vm-3@9", strings.Replace(soundNode, "100", "9223372036854775807", 1)},
		"long domain":                   {"node/vm-3@9", strings.Replace(soundNode, `"d"`, `"`+strings.Repeat("d", 50_000)+`"`, 1)},
		"negative era":                  {"node/vm-3@9", strings.Replace(soundNode, "100", `100,"era":-1`, 1)},
		"long number":                   {"node/vm-3@9", strings.Replace(soundNode, "100", "1"+strings.Repeat("0", 50_000), 1)},
	}
	for name, odd := range rows {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			self := h.edge.Self
			for version := range int64(20) {
				acts := h.step(Nodes{
					Snapshot: version == 0,
					Rows: []waxwingwall.Row{
						{Key: odd.key, Version: version + 1, Value: odd.value},
						{Key: "node/vm-2@5", Version: version + 1, Value: soundNode},
					},
				})
				acts = append(acts, h.advance(200*time.Millisecond)...)
				for _, a := range acts {
					switch a := a.(type) {
					case PeerAddress:
						if ip := a.Address.Addr(); !a.Address.IsValid() || a.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
							t.Fatalf("router %s is called at %v", a.VM, a.Address)
						}
					case LogEntry:
						for _, f := range a.Fields {
							if text := fmt.Sprint(f.Value); len(text) > 1000 {
								t.Fatalf("field %s of %s has %d bytes", f.Name, a.Event, len(text))
							}
						}
					}
				}
			}
			if h.edge.Self != self {
				t.Errorf("the router goes on as %s", h.edge.Self)
			}
			if len(h.edge.nodes.rows) == 0 || h.edge.nodes.rows[waxwingwall.Incarnation{VM: "vm-2", Boot: 5}] == nil {
				t.Error("the sound row is not known")
			}
			for i := range h.edge.nodes.rows {
				if i.VM != "vm-2" {
					t.Errorf("the odd row names router %s", shortForm(i))
				}
			}
		})
	}
}

// shortForm returns the start of the name of an incarnation.
func shortForm(i waxwingwall.Incarnation) string {
	text := i.String()
	return text[:min(len(text), 50)]
}
