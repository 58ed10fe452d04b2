package fake

import (
	"fmt"
	"strings"

	"waxwingwall"
)

// documentHeader contains the limits and the only rank.
const documentHeader = `[limits]
max_prompt = 1000
max_output = 500
default_output = 50

[rank urgent]
level = 0
first_token = 420ms
between_tokens = 65ms
floor = 0.3
worth = 10
`

// endpointsPerNetwork is the number of endpoints per /16 network.
const endpointsPerNetwork = 200

// Budget returns the name of the i-th budget of a Document.
func Budget(i int) waxwingwall.Budget {
	return waxwingwall.Budget(fmt.Sprintf("budget%d", i))
}

// Account returns the name of the i-th client account of a Document.
func Account(i int) waxwingwall.Account {
	return waxwingwall.Account(fmt.Sprintf("account%d", i))
}

// Document returns a configuration with client accounts, each with its own budget
// and the given spread (at least 1), and with endpoints that all serve model "m".
func Document(accounts, spread, endpoints int) string {
	var b strings.Builder
	b.WriteString(documentHeader)
	for i := range accounts {
		fmt.Fprintf(&b, "\n[account %s]\nkey_hashes = %064x\nrank = urgent\nbudget = %s\nspread = %d\n\n[budget %s]\naccount = %s\n",
			Account(i), i+1, Budget(i), max(spread, 1), Budget(i), Account(i))
	}
	for i := range endpoints {
		fmt.Fprintf(&b, "\n[endpoint engine%d]\naddress = 10.%d.%d.1:1\nkind = model\nmodels = m\ndomain = domain%d\nconcurrency = 64\nidempotent = true\n",
			i, 1+i/endpointsPerNetwork, i%endpointsPerNetwork, i%3)
	}
	return b.String()
}
