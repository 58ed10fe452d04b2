package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall/platform/standin"
)

// TestStoreRestored guards against a store that comes back from a copy some seconds old:
// no budget is overspent, no key is reverted, and the routers go on with the store,
// though its versions went back and are given out again.
func TestStoreRestored(t *testing.T) {
	account := testAccount
	account.Prepaid = 40_000
	f := newFleet(t, 2, account)
	served := 0
	serve := func(n int) {
		for i := range n {
			if f.call(f.relays[i%2], "draft", "", 1_000, 100).status == http.StatusOK {
				served++
			}
		}
	}
	f.waitUntil("routers have drawn shares", func() bool { return len(f.store.Rows("share")) >= 2 })
	serve(4)
	for round := range 2 {
		old := f.store.Copy()
		serve(6)
		account.Key = account.Key + "x"
		f.store.Put("op", "config", standin.Configuration(int64(10*round+2), account))
		for _, n := range f.relays {
			f.waitUntil("the old key is rejected", func() bool {
				return f.call(n, "order", "", 0, 0).status == http.StatusUnauthorized
			})
		}
		// Writes that make the store's version much higher than the copy's.
		for range 100 {
			f.store.Put("other", "row", []byte("x"))
		}
		f.store.SetDown(true)
		time.Sleep(200 * time.Millisecond)
		f.store.Restore(old)
		f.store.SetDown(false)
		for _, n := range f.relays {
			if a := f.call(n, "order", "", 0, 0); a.status != http.StatusUnauthorized {
				t.Errorf("round %d: an old key got %d", round, a.status)
			}
		}
		account.Key = "key"
		f.store.Put("op", "config", standin.Configuration(int64(10*round+3), account))
		for _, n := range f.relays {
			f.waitUntil("a later configuration is in force", func() bool {
				return f.call(n, "order", "", 0, 0).status == http.StatusOK
			})
			f.waitUntil("the budgets are restored", func() bool {
				return strings.Count(n.log.String(), `"msg":"budgets_restored"`) == round+1
			})
		}
	}
	serve(60)
	// Each request costs 1,030 tokens.
	if most := int(account.Prepaid) / 1_030; served > most {
		t.Errorf("%d served with a budget for %d", served, most)
	}
	if served < 30 {
		t.Errorf("%d served with a budget for 38", served)
	}
}
