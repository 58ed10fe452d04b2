package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"waxwingwall"
)

// AllBillsPrefix is the common prefix of the keys of all bill rows.
const AllBillsPrefix = billPrefix

// ReadBills returns the bills in rows listed with AllBillsPrefix, in the order
// of the rows.
func ReadBills(rows []waxwingwall.Row) ([]Claim, error) {
	var bills []Claim
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, billPrefix) {
			continue
		}
		home, _, err := ParseBillKey(row.Key)
		if err != nil {
			return nil, err
		}
		var r BillRow
		if err := json.Unmarshal([]byte(row.Value), &r); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		bills = append(bills, r.Bills(home)...)
	}
	return bills, nil
}

// Owners returns the incarnations that own the slots of an account, without
// duplicates, in the order of the slots.
func (l *Ledger) Owners(account waxwingwall.Account, spread int) []waxwingwall.Incarnation {
	var owners []waxwingwall.Incarnation
	count := len(l.slots.row.Slots)
	if count == 0 {
		return nil
	}
	base := l.slotOf(waxwingwall.Identity{Account: account}, 1)
	spread = max(spread, 1)
	for i := range spread {
		owner := l.slots.owner((base + i*int(slotStride(spread, count))) % count)
		if owner.IsZero() || slices.Contains(owners, owner) {
			continue
		}
		owners = append(owners, owner)
	}
	return owners
}
