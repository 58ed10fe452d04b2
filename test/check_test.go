package test

import (
	"context"
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall"
	"waxwingwall/core/claim"
	"waxwingwall/io/endpoint"
	"waxwingwall/sim"
)

// identity returns the identity of a request in the audit.
func identity(key string) string {
	return endpoint.IdentityHeader(waxwingwall.Identity{
		Account: account,
		Key:     key,
	})
}

// bill is one bill of a request; home is the incarnation that billed it.
type bill struct {
	key    string
	home   waxwingwall.Incarnation
	run    int64
	tokens waxwingwall.Tokens
}

// bills reads all bills from the table, by key. Equal entries in several rows of
// one home are one bill.
func (f *fleet) bills() map[string][]bill {
	GinkgoHelper()
	rows, err := f.table.List(context.Background(), "bill/")
	Expect(err).NotTo(HaveOccurred())
	seen := map[bill]bool{}
	byKey := map[string][]bill{}
	for _, row := range rows {
		home, _, err := claim.ParseBillKey(row.Key)
		Expect(err).NotTo(HaveOccurred())
		var r claim.BillRow
		Expect(json.Unmarshal([]byte(row.Value), &r)).To(Succeed())
		for _, c := range r.Bills(home) {
			b := bill{
				key:    c.Identity.Key,
				home:   c.Home,
				run:    c.Run,
				tokens: c.Tokens,
			}
			if !seen[b] {
				seen[b] = true
				byKey[b.key] = append(byKey[b.key], b)
			}
		}
	}
	return byKey
}

// check compares the answers to callers with the bills and the audit.
func (f *fleet) check() {
	GinkgoHelper()
	report := f.world.Audit.Report()
	f.checkAnswers()
	f.checkRuns(report)
	Eventually(f.unbilled).Should(BeEmpty(), "answered requests without a bill")
	f.checkBills()
}

// checkAnswers checks that every complete answer has the content that its request
// asks for.
func (f *fleet) checkAnswers() {
	GinkgoHelper()
	for _, x := range f.exchanges {
		if !x.Complete {
			continue
		}
		want := sim.Answer(messages(x.Prompt), maxTokens)
		if x.Order {
			want = sim.ServiceBody(x.Prompt)
		}
		Expect(x.Text).To(Equal(want), "answer to %s", x.Key)
	}
}

// checkRuns checks the runs against the answers to callers.
func (f *fleet) checkRuns(report sim.Report) {
	GinkgoHelper()
	calls := map[string]int{}
	for _, c := range report.Calls {
		calls[c.Identity]++
	}
	for key, n := range calls {
		Expect(n).To(Equal(1), "runs of order %s", key)
	}
	begun := map[string]bool{}
	for _, r := range report.Runs {
		begun[r.Identity] = begun[r.Identity] || r.State != sim.Queued
	}
	for _, x := range f.exchanges {
		id := identity(x.Key)
		switch {
		case x.Complete && x.Order:
			Expect(calls[id]).To(Equal(1), "order %s was confirmed", x.Key)
		case x.Problem.Outcome == waxwingwall.NotRun:
			Expect(calls[id]).To(BeZero(), "order %s was answered not_run: %v", x.Key, x.Problem)
			Expect(begun[id]).To(BeFalse(), "%s was answered not_run: %v", x.Key, x.Problem)
		}
	}
}

// unbilled lists the answered requests without a bill.
func (f *fleet) unbilled() []string {
	bills := f.bills()
	var missing []string
	for _, x := range f.exchanges {
		if x.Complete && len(bills[x.Key]) == 0 {
			missing = append(missing, x.Key)
		}
	}
	return missing
}

// checkBills checks that nothing is billed twice, that each bill matches the
// answer to the caller, and that the budget covers all bills.
func (f *fleet) checkBills() {
	GinkgoHelper()
	bills := f.bills()
	var spent waxwingwall.Tokens
	for key, list := range bills {
		Expect(list).To(HaveLen(1), "bills of %s", key)
		spent += list[0].tokens
	}
	Expect(spent).To(BeNumerically("<=", f.total), "tokens billed to the budget")
	for _, x := range f.exchanges {
		if !x.Complete || x.Order {
			continue
		}
		// Every token ends with a space.
		want := sim.PromptTokens(messages(x.Prompt)) + strings.Count(x.Text, " ")
		Expect(bills[x.Key][0].tokens).To(BeEquivalentTo(want), "bill of %s", x.Key)
	}
}

// countComplete counts the complete answers to keys with a prefix.
func (f *fleet) countComplete(prefix string) int {
	var n int
	for _, x := range f.exchanges {
		if x.Complete && strings.HasPrefix(x.Key, prefix) {
			n++
		}
	}
	return n
}
