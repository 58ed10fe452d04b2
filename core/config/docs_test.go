package config

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var (
	docSection = regexp.MustCompile(`^## \[([a-z_]+)( NAME)?\]$`)
	docKey     = regexp.MustCompile("^\\| `([a-z_]+)` \\| (required|none|`([^`]*)`) \\|")
)

// TestDocsListEveryKey checks that docs/CONFIG.md lists exactly the keys of the
// code, with their defaults.
func TestDocsListEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	const accounts = "\n[account a]\nkey_hashes =\nrank = r\nbudget = b\n[budget b]\naccount = a\n[rank r]\nlevel = 0\n"
	const endpoint = "[endpoint e]\naddress = 1.2.3.4:5\nmodels = m\ndomain = d\nidempotent = true\nkind = "
	text := "[limits]" + accounts + endpoint + "model\n"
	want := make(map[string][]string)
	for _, s := range parse("", []byte(text)).file.Sections {
		kind, _, _ := strings.Cut(s.Name, " ")
		want[kind] = s.RequestedKeys()
	}
	got := make(map[string][]string)
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
		got[section] = append(got[section], m[1])
		text := text
		if m[1] == "price" {
			text = strings.Replace(text, "kind = model", "kind = service", 1)
		}
		if m[3] != "" {
			checkDefault(t, text, section, m[1], m[3])
		}
	}
	for kind, keys := range want {
		if !sameKeys(got[kind], keys) {
			t.Errorf("[%s]: docs/CONFIG.md lists %v, the code %v", kind, got[kind], keys)
		}
	}
	if len(got) != len(want) {
		t.Errorf("docs/CONFIG.md lists %d sections, the code %d", len(got), len(want))
	}
}

func sameKeys(a, b []string) bool {
	set := make(map[string]bool)
	for _, k := range a {
		set[k] = true
	}
	for _, k := range b {
		if !set[k] {
			return false
		}
	}
	return len(a) == len(b) && len(set) == len(a)
}

// checkDefault checks that setting a key to its documented default changes
// nothing.
func checkDefault(t *testing.T, text, section, key, value string) {
	t.Helper()
	at := strings.Index(text, "["+section)
	end := at + strings.Index(text[at:], "\n") + 1
	without, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	with, err := Parse([]byte(text[:end] + key + " = " + value + "\n" + text[end:]))
	if err != nil || !reflect.DeepEqual(with, without) {
		t.Errorf("[%s] %s: %s is not the default: %v", section, key, value, err)
	}
}

// TestDocsExample parses the example in docs/CONFIG.md.
func TestDocsExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(page), "```ini\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse([]byte(example)); err != nil {
		t.Fatal(err)
	}
}

func TestDiff(t *testing.T) {
	before, err := Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	after, err := Parse([]byte(strings.Replace(sample, "worth = 10", "worth = 11", 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := []Difference{
		{
			Section: "rank urgent",
			Key:     "worth",
			Old:     "10",
			New:     "11",
		},
	}
	if got := Diff(before, after); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v", got)
	}
}

// TestDiffOfGeneratedDocuments compares Diff with a line-by-line comparison of
// the texts.
func TestDiffOfGeneratedDocuments(t *testing.T) {
	lines := func(d Document) map[string]string {
		found := make(map[string]string)
		section := ""
		for line := range strings.SplitSeq(d.String(), "\n") {
			key, value, ok := strings.Cut(line, " = ")
			if ok {
				found[section+key] = value
			} else {
				section = line
			}
		}
		return found
	}
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDocument(t), drawDocument(t)
		old, next := lines(before), lines(after)
		want := 0
		for k := range old {
			if v, ok := next[k]; !ok || v != old[k] {
				want++
			}
		}
		for k := range next {
			if _, ok := old[k]; !ok {
				want++
			}
		}
		all := Diff(before, after)
		for _, d := range all {
			k := "[" + d.Section + "]" + d.Key
			if old[k] != d.Old || next[k] != d.New {
				t.Fatalf("%v: want %q -> %q", d, old[k], next[k])
			}
		}
		if len(all) != want {
			t.Fatalf("%d differences, want %d", len(all), want)
		}
	})
}
