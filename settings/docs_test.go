package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"waxwingwall/core/config/ini"
)

var (
	docSection = regexp.MustCompile(`^## \[([a-z_]+)\]$`)
	docKey     = regexp.MustCompile("^\\| `([a-z_]+)` \\| (required|none|`([^`]*)`) \\|")
)

// TestPageNamesEveryKey compares docs/SETTINGS.md with the code: the page lists
// exactly the keys that the code reads, with the same defaults.
func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	f := ini.Parse("", []byte(validSettings))
	defaults := read(f)
	documented := make(map[string][]string)
	text := validSettings
	section := ""
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := docSection.FindStringSubmatch(line); m != nil {
			section = m[1]
			continue
		}
		m := docKey.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		documented[section] = append(documented[section], m[1])
		if m[3] == "" {
			continue
		}
		if !strings.Contains(text, "["+section+"]\n") {
			text += "[" + section + "]\n"
		}
		text = strings.Replace(text, "["+section+"]\n", "["+section+"]\n"+m[1]+" = "+m[3]+"\n", 1)
	}
	for _, s := range f.Sections {
		keys := slices.Sorted(slices.Values(documented[s.Name]))
		if !slices.Equal(keys, s.RequestedKeys()) {
			t.Errorf("[%s]: the page has %v, the code %v", s.Name, keys, s.RequestedKeys())
		}
	}
	if len(documented) != len(f.Sections) {
		t.Errorf("the page has %d sections, the code %d", len(documented), len(f.Sections))
	}
	documentedDefaults, err := Parse("", []byte(text))
	if err != nil || !reflect.DeepEqual(documentedDefaults, defaults) {
		t.Errorf("the page's defaults aren't the code's: %v\n%+v\n%+v", err, documentedDefaults, defaults)
	}
}

// TestPageExample parses the example on the page.
func TestPageExample(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(page), "```ini\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse("SETTINGS.md", []byte(example)); err != nil {
		t.Fatal(err)
	}
}
