// Package ini reads INI text strictly.
//
// Parse splits a file into sections; Get takes typed values out of them. Both
// collect what is wrong in place of stopping at the first fault, and Err gives
// everything at once: lines that can't be read, sections and keys given twice,
// values that don't parse, values that are missing, and keys that nobody asked
// for.
//
// The form is narrow on purpose, so that a typing error can't pass for a
// value: keys are in snake case, values aren't quoted and don't go on over
// several lines, and a comment stands after " #" or " ;" or on its own line.
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

// MaxBytes is the largest text that Parse reads, in bytes.
const MaxBytes = 32 << 20

// maxErrors bounds how many faults are kept.
const maxErrors = 1000

var (
	sectionLine = regexp.MustCompile(`^\[([^\[\]]+)\]$`)
	keyLine     = regexp.MustCompile(`^([a-z][a-z0-9_]*)[ \t]*=[ \t]*(.*)$`)
)

// Error is one fault.
type Error struct {
	// File is the file's name as given to Parse; empty if it has none.
	File string `json:"file"`

	// Line counts from 1; 0 means the file as a whole.
	Line int `json:"line"`

	// Section is the section's name; empty outside of sections.
	Section string `json:"section"`

	// Key is the key's name; empty if the fault isn't one key's.
	Key string `json:"key"`

	// Reason says what is wrong.
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

// Errors are all faults of a file, by line.
type Errors []Error

// Error implements error. It gives one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a file that was read.
type File struct {
	// Name is what Parse was given.
	Name string

	// Sections are in the order of the text.
	Sections []*Section

	// byName finds sections.
	byName map[string]*Section

	// errs are the faults so far, in the order found.
	errs Errors
}

// Section is one section of a file.
type Section struct {
	// Name is the text between the brackets.
	Name string

	// Line is where it begins; 0 for a section that isn't in the file.
	Line int

	file *File

	// entries are the keys given and those looked for; they are few.
	entries []entry
}

// entry is one key of a section.
type entry struct {
	key string

	// line is where it is given; 0 if it isn't.
	line int

	// value is set and read is true if its line is sound.
	value string
	valid bool

	// requested tells that Get looked for it.
	requested bool
}

// entry finds a key or adds it.
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

// Parse reads text. What is wrong with it is kept for Err.
func Parse(name string, data []byte) *File {
	f := &File{
		Name:   name,
		byName: make(map[string]*Section),
	}
	if len(data) > MaxBytes {
		f.fail(0, "", "", fmt.Sprintf("%d bytes, the most is %d", len(data), MaxBytes))
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

// scan finds where sections and keys stand, and returns the text without the
// lines that are at fault.
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

// scanKey notes a key's line and reports whether the line is sound.
func (f *File) scanKey(s *Section, line string, at int) bool {
	m := keyLine.FindStringSubmatch(line)
	if m == nil {
		f.fail(at, sectionName(s), "", "neither [section] nor key = value")
		return false
	}
	key := m[1]
	if s == nil {
		f.fail(at, "", key, "stands before the first section")
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

// section finds the section or adds it.
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

// FindOrAdd returns the section with this name, or an empty one, so that its
// missing keys are named as faults.
func (f *File) FindOrAdd(name string) *Section {
	return f.section(name, 0)
}

// Fail notes a fault of a section, or of one of its keys if key isn't empty.
func (s *Section) Fail(key, reason string) {
	line := s.Line
	for _, e := range s.entries {
		if e.key == key && e.line != 0 {
			line = e.line
		}
	}
	s.file.fail(line, s.Name, key, reason)
}

// Reject notes a fault of the section as a whole. Its keys aren't looked at.
func (s *Section) Reject(reason string) {
	s.Fail("", reason)
	for i := range s.entries {
		s.entries[i].requested = true
	}
}

// Has reports whether the section gives the key.
func (s *Section) Has(key string) bool {
	return s.entry(key).valid
}

// Value returns the text of a key as given, or an empty one.
func (s *Section) Value(key string) string {
	return s.entry(key).value
}

// Keys returns the keys given, sorted.
func (s *Section) Keys() []string {
	return s.keys(func(e entry) bool { return e.valid })
}

// RequestedKeys returns the keys that Get looked for, sorted.
func (s *Section) RequestedKeys() []string {
	return s.keys(func(e entry) bool { return e.requested })
}

// keys returns those keys that are wanted, sorted.
func (s *Section) keys(want func(entry) bool) []string {
	var keys []string
	for _, e := range s.entries {
		if want(e) {
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

// Err returns every fault as Errors, or nil. Keys that nobody asked for are
// faults, so it is called after the last Get.
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

// errMissing is the reason for a key without a fallback that isn't given.
var errMissing = errors.New("missing")

// Get returns the value of a key. If the key isn't given, the result is the
// fallback; without a fallback that is a fault. A fault yields the zero value.
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
