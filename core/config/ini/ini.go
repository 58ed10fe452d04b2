// Package ini is a strict parser for INI files.
//
// Parse splits a file into sections; Get reads typed values from them. Both
// collect errors instead of stopping at the first one, and Err returns all of
// them: malformed lines, duplicate sections and keys, invalid values, missing
// values, and keys that were never requested.
//
// The syntax is deliberately restricted so that a typo can't pass as a value:
// keys are in snake case, values are unquoted and on a single line, and a
// comment follows " #" or " ;" or is on its own line.
package ini

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a text that Parse accepts, in bytes.
const MaxBytes = 32 << 20

// maxErrors limits the number of recorded errors.
const maxErrors = 1000

var (
	sectionLine = regexp.MustCompile(`^\[([^\[\]]+)\]$`)
	keyLine     = regexp.MustCompile(`^([a-z][a-z0-9_]*)[ \t]*=[ \t]*(.*)$`)
)

// Error is one error in a file.
type Error struct {
	// File is the file name passed to Parse; may be empty.
	File string `json:"file"`

	// Line counts from 1; 0 means the file as a whole.
	Line int `json:"line"`

	// Section is the section's name; empty outside of sections.
	Section string `json:"section"`

	// Key is the key's name; empty if the error doesn't concern a single key.
	Key string `json:"key"`

	// Reason describes the error.
	Reason string `json:"reason"`
}

// Error implements error.
func (e Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
	}
	fmt.Fprintf(&b, "%d: ", e.Line)
	if e.Section != "" {
		b.WriteString("[" + e.Section + "] ")
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// Errors are all errors in a file, sorted by line.
type Errors []Error

// Error implements error. The text has one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, item := range e {
		lines = append(lines, item.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file.
type File struct {
	// Name is the file name passed to Parse.
	Name string

	// Sections are in the order of the text.
	Sections []*Section

	// byName maps names to sections.
	byName map[string]*Section

	// errs are the errors found so far, in order of detection.
	errs Errors
}

// Section is one section of a file.
type Section struct {
	// Name is the text between the brackets.
	Name string

	// Line is the line of the header; 0 for a section that isn't in the file.
	Line int

	file *File

	// entries are the keys in the file and the requested ones. A section has few
	// keys, so they are searched linearly.
	entries []entry
}

// entry is one key of a section.
type entry struct {
	key string

	// line is the line of the key; 0 if it isn't in the file.
	line int

	// valid reports whether the line is well formed; if so, value is set.
	value string
	valid bool

	// requested reports whether Get has read the key.
	requested bool
}

// entry returns the entry of a key, adding it if necessary.
func (s *Section) entry(key string) *entry {
	for i := range s.entries {
		if s.entries[i].key == key {
			return &s.entries[i]
		}
	}
	s.entries = append(s.entries, entry{
		key: key,
	})
	return &s.entries[len(s.entries)-1]
}

// Parse parses a text. Errors are recorded for Err.
func Parse(name string, data []byte) *File {
	f := &File{
		Name:   name,
		byName: make(map[string]*Section),
	}
	if len(data) > MaxBytes {
		f.fail(0, "", "", fmt.Sprintf("%d bytes, the maximum is %d", len(data), MaxBytes))
		return f
	}
	if !utf8.Valid(data) || bytes.ContainsAny(data, "\x00\ufeff") {
		f.fail(0, "", "", "not plain UTF-8 text")
		return f
	}
	clean := f.scan(data)
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00",
	}
	loaded, err := ini.LoadSources(options, clean)
	if err != nil {
		f.fail(0, "", "", err.Error())
		return f
	}
	for _, s := range f.Sections {
		for _, k := range loaded.Section(s.Name).Keys() {
			e := s.entry(k.Name())
			e.value = k.Value()
			e.valid = true
		}
	}
	return f
}

// scan records the lines of sections and keys, and returns the text without
// invalid lines.
func (f *File) scan(data []byte) []byte {
	var clean bytes.Buffer
	var current *Section
	seen := make(map[string]bool)
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if m := sectionLine.FindStringSubmatch(line); m != nil {
			name := strings.Join(strings.Fields(m[1]), " ")
			current = f.section(name, i+1)
			if seen[name] {
				f.fail(i+1, name, "", "section given twice")
			}
			seen[name] = true
			clean.WriteString("[" + name + "]\n")
			continue
		}
		if f.scanKey(current, line, i+1) {
			clean.WriteString(line + "\n")
		}
	}
	return clean.Bytes()
}

// scanKey records the line number of a key and reports whether the line is
// valid.
func (f *File) scanKey(s *Section, line string, at int) bool {
	m := keyLine.FindStringSubmatch(line)
	if m == nil {
		f.fail(at, sectionName(s), "", "neither [section] nor key = value")
		return false
	}
	key := m[1]
	if s == nil {
		f.fail(at, "", key, "key before the first section")
		return false
	}
	if strings.IndexAny(m[2], "\"'`") == 0 {
		f.fail(at, s.Name, key, "values aren't quoted")
		return false
	}
	if strings.ContainsFunc(m[2], isControl) {
		f.fail(at, s.Name, key, "control character in the value")
		return false
	}
	e := s.entry(key)
	if e.line != 0 {
		f.fail(at, s.Name, key, fmt.Sprintf("given twice, first on line %d", e.line))
		return false
	}
	e.line = at
	return true
}

func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029
}

func sectionName(s *Section) string {
	if s == nil {
		return ""
	}
	return s.Name
}

// section returns the section with this name, adding it if necessary.
func (f *File) section(name string, line int) *Section {
	if s := f.Find(name); s != nil {
		return s
	}
	s := &Section{
		Name: name,
		Line: line,
		file: f,
	}
	f.Sections = append(f.Sections, s)
	f.byName[name] = s
	return s
}

// Find returns the section with this name, or nil.
func (f *File) Find(name string) *Section {
	return f.byName[name]
}

// FindOrAdd returns the section with this name. A missing section is added
// empty, so that its required keys are reported as missing.
func (f *File) FindOrAdd(name string) *Section {
	return f.section(name, 0)
}

// Fail records an error of a section, or of one of its keys if key isn't empty.
func (s *Section) Fail(key, reason string) {
	line := s.Line
	for _, e := range s.entries {
		if e.key == key && e.line != 0 {
			line = e.line
		}
	}
	s.file.fail(line, s.Name, key, reason)
}

// Reject records an error of the section as a whole and suppresses errors about
// unknown keys in it.
func (s *Section) Reject(reason string) {
	s.Fail("", reason)
	for i := range s.entries {
		s.entries[i].requested = true
	}
}

// Has reports whether the section has a valid line for the key.
func (s *Section) Has(key string) bool {
	return s.entry(key).valid
}

// Value returns the unparsed value of a key, or an empty string.
func (s *Section) Value(key string) string {
	return s.entry(key).value
}

// Keys returns the keys with a valid line, sorted.
func (s *Section) Keys() []string {
	return s.keys(func(e entry) bool { return e.valid })
}

// RequestedKeys returns the keys that Get has read, present or not, sorted.
func (s *Section) RequestedKeys() []string {
	return s.keys(func(e entry) bool { return e.requested })
}

// keys returns the keys whose entries satisfy include, sorted.
func (s *Section) keys(include func(entry) bool) []string {
	var keys []string
	for _, e := range s.entries {
		if include(e) {
			keys = append(keys, e.key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (f *File) fail(line int, section, key, reason string) {
	if len(f.errs) >= maxErrors {
		return
	}
	f.errs = append(f.errs, Error{
		File:    f.Name,
		Line:    line,
		Section: section,
		Key:     key,
		Reason:  reason,
	})
}

// Err returns all errors as Errors, or nil. Keys that were never requested are
// errors, so it must be called after the last Get.
func (f *File) Err() error {
	for _, s := range f.Sections {
		for _, key := range s.keys(func(e entry) bool { return e.line != 0 && !e.requested }) {
			s.Fail(key, "unknown key")
			s.entry(key).requested = true
		}
	}
	if len(f.errs) == 0 {
		return nil
	}
	sort.SliceStable(f.errs, func(i, j int) bool {
		return f.errs[i].Line < f.errs[j].Line
	})
	return f.errs
}

// errMissing is the reason for a missing key without a fallback.
var errMissing = errors.New("missing")

// Get parses the value of a key. A missing key yields the fallback; without a
// fallback it is an error. An error yields the zero value.
func Get[T any](s *Section, key string, parse func(string) (T, error), fallback ...T) T {
	e := s.entry(key)
	e.requested = true
	var zero T
	if !e.valid {
		if len(fallback) > 0 {
			return fallback[0]
		}
		if e.line == 0 {
			s.Fail(key, errMissing.Error())
		}
		return zero
	}
	v, err := parse(e.value)
	if err != nil {
		s.Fail(key, err.Error())
		return zero
	}
	return v
}
