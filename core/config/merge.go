package config

import (
	"cmp"
	"fmt"
	"slices"

	"waxwingwall/core/config/ini"
)

// The orders of a document's lists.

func byAccount(a, b Account) int { return cmp.Compare(a.Name, b.Name) }

func byBudget(a, b Budget) int { return cmp.Compare(a.Name, b.Name) }

func byEndpoint(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) }

func byRank(a, b Rank) int { return cmp.Compare(a.Level, b.Level) }

// readPart reads the sections of one part. What parts say of each other was
// checked by Parse before the version was accepted, and isn't checked again.
func readPart(text string) (Document, error) {
	p := readSections("", []byte(text))
	if err := p.file.Err(); err != nil {
		return Document{}, err
	}
	p.sort()
	return p.doc, nil
}

// merge makes a document of one that was in force, less the parts that are
// gone, with the fresh parts. It fails if a name stands twice.
func merge(old Document, gone, fresh []Document) (Document, error) {
	m := merger{}
	d := Document{
		Limits: mergeLimits(old.Limits, gone, fresh),
		Accounts: mergeList(&m, old.Accounts, gone, fresh,
			func(d Document) []Account { return d.Accounts },
			byAccount),
		Budgets: mergeList(&m, old.Budgets, gone, fresh,
			func(d Document) []Budget { return d.Budgets },
			byBudget),
		Endpoints: mergeList(&m, old.Endpoints, gone, fresh,
			func(d Document) []Endpoint { return d.Endpoints },
			byEndpoint),
		Ranks: mergeList(&m, old.Ranks, gone, fresh,
			func(d Document) []Rank { return d.Ranks },
			byRank),
	}
	return d, m.err
}

// merger keeps the first fault of a merge.
type merger struct {
	err error
}

// mergeList merges one list of a document. The old list is sorted; the others
// are few beside it.
func mergeList[T any](m *merger, old []T, gone, fresh []Document, list func(Document) []T, compare func(a, b T) int) []T {
	var out, in []T
	for _, d := range gone {
		out = append(out, list(d)...)
	}
	for _, d := range fresh {
		in = append(in, list(d)...)
	}
	slices.SortFunc(out, compare)
	slices.SortFunc(in, compare)
	merged := make([]T, 0, len(old)+len(in))
	for _, e := range old {
		for len(out) > 0 && compare(out[0], e) < 0 {
			out = out[1:]
		}
		if len(out) > 0 && compare(out[0], e) == 0 {
			continue
		}
		for len(in) > 0 && compare(in[0], e) < 0 {
			merged = append(merged, in[0])
			in = in[1:]
		}
		merged = append(merged, e)
	}
	merged = append(merged, in...)
	for i := range merged {
		if i > 0 && compare(merged[i-1], merged[i]) == 0 && m.err == nil {
			m.err = fmt.Errorf("given twice: %+v", merged[i])
		}
	}
	return merged
}

// mergeLimits takes the limits of the part that has them.
func mergeLimits(old Limits, gone, fresh []Document) Limits {
	for _, d := range fresh {
		if d.Limits != (Limits{}) {
			return d.Limits
		}
	}
	unset := old == Limits{}
	for _, d := range gone {
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
