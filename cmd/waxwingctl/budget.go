package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config/ini"
	"waxwingwall/core/escrow"
	"waxwingwall/io/platform"
)

// budgetState is the printed state of a budget.
type budgetState struct {
	// Budget names the budget.
	Budget waxwingwall.Budget `json:"budget"`

	// Total is the sum of all top-ups.
	Total waxwingwall.Tokens `json:"total"`

	// Pool is the amount that no router has drawn.
	Pool waxwingwall.Tokens `json:"pool"`

	// Drawn is the amount that routers have drawn and not returned: spent, or
	// reserved for spending.
	Drawn waxwingwall.Tokens `json:"drawn"`

	// Holders are the routers that may hold an unspent share.
	Holders []waxwingwall.Incarnation `json:"holders"`
}

func newBudgetState(budget waxwingwall.Budget, row waxwingwall.Row) (budgetState, error) {
	s := budgetState{
		Budget: budget,
	}
	if row.Version == 0 {
		return s, nil
	}
	r, err := escrow.Decode[escrow.BudgetRow](row)
	if err != nil {
		return s, trace.Wrap(err)
	}
	s.Total = r.Total
	s.Pool = r.Pool()
	s.Drawn = r.Granted - r.Returned
	s.Holders = r.Holders
	return s, nil
}

// budgetShow shows one budget or all.
type budgetShow struct {
	Args struct {
		Budget string `positional-arg-name:"BUDGET"`
	} `positional-args:"yes"`
	app *app
}

// Execute implements flags.Commander.
func (c *budgetShow) Execute([]string) error {
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		budgetRows, err := c.rows(ctx, p)
		if err != nil {
			return err
		}
		var budgets []budgetState
		var rows [][]string
		for _, r := range budgetRows {
			s, err := newBudgetState(waxwingwall.Budget(strings.TrimPrefix(r.Key, escrow.BudgetKey(""))), r)
			if err != nil {
				return err
			}
			budgets = append(budgets, s)
			rows = append(rows, []string{
				string(s.Budget),
				formatTokens(s.Total),
				formatTokens(s.Pool),
				formatTokens(s.Drawn),
				strconv.Itoa(len(s.Holders)),
			})
		}
		return c.app.printTable(budgets, "BUDGET TOTAL POOL DRAWN HOLDERS", rows)
	})
}

func (c *budgetShow) rows(ctx context.Context, p *platform.Client) ([]waxwingwall.Row, error) {
	if c.Args.Budget == "" {
		return p.List(ctx, escrow.BudgetKey(""))
	}
	row, err := p.Get(ctx, escrow.BudgetKey(waxwingwall.Budget(c.Args.Budget)))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, trace.NotFound("budget %q was never topped up", c.Args.Budget)
	}
	return []waxwingwall.Row{row}, nil
}

func formatTokens(n waxwingwall.Tokens) string {
	return strconv.FormatInt(int64(n), 10)
}

// budgetTopUp raises a budget once per ID.
type budgetTopUp struct {
	ID   string `long:"id" description:"ID of the top-up, such as an invoice's number; the same ID never counts twice"`
	New  bool   `long:"new" description:"allow a budget that isn't in the configuration yet"`
	Args struct {
		Budget string `positional-arg-name:"BUDGET" required:"yes"`
		Tokens int64  `positional-arg-name:"TOKENS" required:"yes"`
	} `positional-args:"yes"`
	app *app
}

// topUpResult is the output of a top-up.
type topUpResult struct {
	ID     string      `json:"id"`
	Budget budgetState `json:"budget"`
}

// Execute implements flags.Commander.
func (c *budgetTopUp) Execute([]string) error {
	if c.Args.Tokens <= 0 {
		return usagef("%d tokens: want more than 0", c.Args.Tokens)
	}
	if c.ID == "" {
		id := make([]byte, 16)
		if _, err := rand.Read(id); err != nil {
			return trace.Wrap(err)
		}
		c.ID = hex.EncodeToString(id)
	}
	if strings.ContainsRune(c.ID, '/') {
		return usagef("--id %q: holds a slash", c.ID)
	}
	return c.app.withTable(c.topUp)
}

func (c *budgetTopUp) topUp(ctx context.Context, p *platform.Client) error {
	budget := waxwingwall.Budget(c.Args.Budget)
	if err := c.checkConfigured(ctx, p, budget); err != nil {
		return err
	}
	plan := escrow.NewTopUp(budget, c.ID, waxwingwall.Tokens(c.Args.Tokens))
	if err := runPlan(ctx, p, plan); err != nil {
		return trace.Wrap(err, "%s; repeat it with --id %s, it can't count twice", message(err), c.ID)
	}
	if err := plan.Err(); err != nil {
		return err
	}
	row, err := p.Get(ctx, escrow.BudgetKey(budget))
	if err != nil {
		return trace.Wrap(err, "the top-up was made, but the budget can't be shown")
	}
	s, err := newBudgetState(budget, row)
	if err != nil {
		return err
	}
	result := topUpResult{
		ID:     c.ID,
		Budget: s,
	}
	return c.app.printResult(result, "top-up %s of %d tokens; total %d, pool %d", c.ID, c.Args.Tokens, s.Total, s.Pool)
}

// checkConfigured rejects a budget that the current configuration doesn't
// have, as its name is probably mistyped.
func (c *budgetTopUp) checkConfigured(ctx context.Context, p *platform.Client, budget waxwingwall.Budget) error {
	if c.New {
		if _, err := ini.Name[string](string(budget)); err != nil {
			return usagef("%v", err)
		}
		return nil
	}
	doc, err := currentDocument(ctx, p, c.app.Environment)
	if err != nil {
		return err
	}
	if _, ok := doc.Budget(budget); !ok {
		return fmt.Errorf("refused: %s has no budget %q; --new allows it", c.app.Environment, budget)
	}
	return nil
}
