package config

import (
	"fmt"
	"reflect"
	"sort"

	"waxwingwall/core/config/ini"
)

// Difference is one value that differs between two documents.
type Difference struct {
	// Section and Key name the value.
	Section string `json:"section"`
	Key     string `json:"key"`

	// Old and New are the values; empty on the side that lacks the section.
	Old string `json:"old"`
	New string `json:"new"`

	// Added and Removed mean that the whole section was added or removed.
	Added   bool `json:"added"`
	Removed bool `json:"removed"`
}

// String returns the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("[%s] %s: %q -> %q", d.Section, d.Key, d.Old, d.New)
}

// Diff returns the differences between two documents, sorted by section and key.
// Defaults are compared like explicit values. An empty Document before has no
// sections.
func Diff(before, after Document) []Difference {
	empty := before.Limits == (Limits{})
	before.Accounts, after.Accounts = differing(before.Accounts, after.Accounts, compareAccounts)
	before.Budgets, after.Budgets = differing(before.Budgets, after.Budgets, compareBudgets)
	before.Endpoints, after.Endpoints = differing(before.Endpoints, after.Endpoints, compareEndpoints)
	before.Ranks, after.Ranks = differing(before.Ranks, after.Ranks, compareRanks)
	old := ini.Parse("", nil)
	if !empty {
		old = ini.Parse("", before.Marshal())
	}
	next := ini.Parse("", after.Marshal())
	oldSections := sectionsByName(old)
	nextSections := sectionsByName(next)
	var names []string
	for name := range oldSections {
		names = append(names, name)
	}
	for name := range nextSections {
		if oldSections[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var all []Difference
	for _, name := range names {
		all = append(all, diffSection(name, oldSections[name], nextSections[name])...)
	}
	return all
}

// differing returns the elements of two sorted lists without those that are
// equal in both.
func differing[T any](before, after []T, compare func(a, b T) int) (old, next []T) {
	for len(before) > 0 && len(after) > 0 {
		order := compare(before[0], after[0])
		same := order == 0 && reflect.DeepEqual(before[0], after[0])
		if order <= 0 {
			if !same {
				old = append(old, before[0])
			}
			before = before[1:]
		}
		if order >= 0 {
			if !same {
				next = append(next, after[0])
			}
			after = after[1:]
		}
	}
	return append(old, before...), append(next, after...)
}

func sectionsByName(f *ini.File) map[string]*ini.Section {
	byName := make(map[string]*ini.Section, len(f.Sections))
	for _, s := range f.Sections {
		byName[s.Name] = s
	}
	return byName
}

func diffSection(name string, old, next *ini.Section) []Difference {
	keys := make(map[string]bool)
	for _, s := range []*ini.Section{old, next} {
		if s == nil {
			continue
		}
		for _, k := range s.Keys() {
			keys[k] = true
		}
	}
	var all []Difference
	for k := range keys {
		d := Difference{
			Section: name,
			Key:     k,
			Added:   old == nil,
			Removed: next == nil,
		}
		if old != nil {
			d.Old = old.Value(k)
		}
		if next != nil {
			d.New = next.Value(k)
		}
		if d.Old != d.New || d.Added || d.Removed {
			all = append(all, d)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}
