package config

import (
	"cmp"
	"fmt"
	"slices"

	"waxwingwall/core/config/ini"
)

// Sort orders of a document's lists.

func compareAccounts(a, b Account) int { return cmp.Compare(a.Name, b.Name) }

func compareBudgets(a, b Budget) int { return cmp.Compare(a.Name, b.Name) }

func compareEndpoints(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) }

func compareRanks(a, b Rank) int { return cmp.Compare(a.Level, b.Level) }

// parsePart parses the sections of one part. Parse has checked references
// between parts before the version was accepted; they aren't checked again.
func parsePart(text string) (Document, error) {
	p := parseSections("", []byte(text))
	if err := p.file.Err(); err != nil {
		return Document{}, err
	}
	p.sort()
	return p.doc, nil
}

// merge applies removed and added parts to a document. It fails if a name occurs
// twice.
func merge(old Document, removed, added []Document) (Document, error) {
	m := mergeState{}
	d := Document{
		Limits: mergeLimits(old.Limits, removed, added),
		Accounts: mergeList(&m, old.Accounts, removed, added,
			func(d Document) []Account { return d.Accounts },
			compareAccounts),
		Budgets: mergeList(&m, old.Budgets, removed, added,
			func(d Document) []Budget { return d.Budgets },
			compareBudgets),
		Endpoints: mergeList(&m, old.Endpoints, removed, added,
			func(d Document) []Endpoint { return d.Endpoints },
			compareEndpoints),
		Ranks: mergeList(&m, old.Ranks, removed, added,
			func(d Document) []Rank { return d.Ranks },
			compareRanks),
	}
	return d, m.err
}

// mergeState holds the first error of a merge.
type mergeState struct {
	err error
}

// mergeList merges one list of a document. The old list is sorted; the removed
// and added items are few by comparison.
func mergeList[T any](m *mergeState, old []T, removed, added []Document, listOf func(Document) []T, compare func(a, b T) int) []T {
	var removedItems, addedItems []T
	for _, d := range removed {
		removedItems = append(removedItems, listOf(d)...)
	}
	for _, d := range added {
		addedItems = append(addedItems, listOf(d)...)
	}
	slices.SortFunc(removedItems, compare)
	slices.SortFunc(addedItems, compare)
	merged := make([]T, 0, len(old)+len(addedItems))
	for _, e := range old {
		for len(removedItems) > 0 && compare(removedItems[0], e) < 0 {
			removedItems = removedItems[1:]
		}
		if len(removedItems) > 0 && compare(removedItems[0], e) == 0 {
			continue
		}
		for len(addedItems) > 0 && compare(addedItems[0], e) < 0 {
			merged = append(merged, addedItems[0])
			addedItems = addedItems[1:]
		}
		merged = append(merged, e)
	}
	merged = append(merged, addedItems...)
	for i := range merged {
		if i > 0 && compare(merged[i-1], merged[i]) == 0 && m.err == nil {
			m.err = fmt.Errorf("given twice: %+v", merged[i])
		}
	}
	return merged
}

// mergeLimits returns the limits from the added parts, or else the old limits;
// if the part with the old limits was removed, it returns the defaults.
func mergeLimits(old Limits, removed, added []Document) Limits {
	for _, d := range added {
		if d.Limits != (Limits{}) {
			return d.Limits
		}
	}
	unset := old == Limits{}
	for _, d := range removed {
		unset = unset || d.Limits != Limits{}
	}
	if !unset {
		return old
	}
	p := parser{
		file: ini.Parse("", nil),
	}
	p.limits(p.file.FindOrAdd("limits"))
	return p.doc.Limits
}
