package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"waxwingwall/core/config"
	"waxwingwall/io/platform"
)

func (a *app) commands() []command {
	return []command{
		{
			name:  "config",
			short: "Check, try and promote configuration documents",
			subcommands: []command{
				{
					name:  "check",
					short: "Check a file",
					run: &configCheck{
						app: a,
					},
				},
				{
					name:  "diff",
					short: "Compare a file with what is in force",
					run: &configDiff{
						app: a,
					},
				},
				{
					name:  "try",
					short: "Put a file in force in the trial environment",
					run: &configTry{
						app: a,
					},
				},
				{
					name:  "promote",
					short: "Put a tried version in force",
					run: &configPromote{
						app: a,
					},
				},
				{
					name:  "show",
					short: "Print a version",
					run: &configShow{
						app: a,
					},
				},
				{
					name:  "history",
					short: "List all versions",
					run: &configHistory{
						app: a,
					},
				},
				{
					name:  "prune",
					short: "Delete the texts of old versions",
					run: &configPrune{
						app: a,
					},
				},
			},
		},
		{
			name:  "account",
			short: "Client accounts",
			subcommands: []command{
				{
					name:  "list",
					short: "List client accounts",
					run: &accountList{
						app: a,
					},
				},
			},
		},
		{
			name:  "budget",
			short: "Prepaid budgets",
			subcommands: []command{
				{
					name:  "show",
					short: "Show one budget, or all",
					run: &budgetShow{
						app: a,
					},
				},
				{
					name:  "top-up",
					short: "Raise a budget",
					run: &budgetTopUp{
						app: a,
					},
				},
			},
		},
		{
			name:  "vm",
			short: "Virtual machines of routers",
			subcommands: []command{
				{
					name:  "list",
					short: "List the VMs on the platform's list",
					run: &vmList{
						app: a,
					},
				},
				{
					name:  "drain",
					short: "Begin a graceful stop of the router at --router",
					run: &vmDrain{
						app: a,
					},
				},
			},
		},
		{
			name:  "endpoint",
			short: "Endpoints of models and services",
			subcommands: []command{
				{
					name:  "list",
					short: "List endpoints",
					run: &endpointList{
						app: a,
					},
				},
				{
					name:  "drain",
					short: "Send nothing new to an endpoint",
					run: &endpointDrain{
						app: a,
					},
				},
			},
		},
		{
			name:  "trace",
			short: "Print the way of a request through the logs of routers",
			run: &traceCommand{
				app: a,
			},
		},
		{
			name:  "dump",
			short: "Print the whole state of the router at --router",
			run: &dump{
				app: a,
			},
		},
		{
			name:  "key",
			short: "Keys of client accounts and operators",
			subcommands: []command{
				{
					name:  "new",
					short: "Make a key and its hash",
					run: &keyNew{
						app: a,
					},
				},
			},
		},
	}
}

// withCurrent calls do with the current configuration document.
func (a *app) withCurrent(do func(config.Document) error) error {
	return a.withTable(func(ctx context.Context, p *platform.Client) error {
		doc, err := currentDocument(ctx, p, a.Environment)
		if err != nil {
			return err
		}
		if doc.Version == 0 {
			return trace.NotFound("%s has no configuration yet", a.Environment)
		}
		return do(doc)
	})
}

type accountList struct {
	app *app
}

// Execute implements flags.Commander.
func (c *accountList) Execute([]string) error {
	return c.app.withCurrent(func(doc config.Document) error {
		var rows [][]string
		for _, a := range doc.Accounts {
			rows = append(rows, []string{
				string(a.Name),
				a.Rank,
				string(a.Budget),
				strconv.FormatFloat(a.Weight, 'g', -1, 64),
				strconv.Itoa(a.Spread),
				strconv.Itoa(len(a.KeyHashes)),
			})
		}
		return c.app.printTable(doc.Accounts, "ACCOUNT RANK BUDGET WEIGHT SPREAD KEYS", rows)
	})
}

type endpointList struct {
	app *app
}

// Execute implements flags.Commander.
func (c *endpointList) Execute([]string) error {
	return c.app.withCurrent(func(doc config.Document) error {
		var rows [][]string
		for _, e := range doc.Endpoints {
			var models []string
			for _, m := range e.Models {
				models = append(models, string(m))
			}
			rows = append(rows, []string{
				string(e.Name),
				string(e.Kind),
				e.Address.String(),
				string(e.Domain),
				strings.Join(models, ","),
				strconv.FormatBool(e.Idempotent),
				strconv.FormatBool(e.Fencing),
				strconv.FormatBool(e.Leaving),
			})
		}
		return c.app.printTable(doc.Endpoints, "ENDPOINT KIND ADDRESS DOMAIN MODELS IDEMPOTENT FENCING LEAVING", rows)
	})
}

type vmList struct {
	app *app
}

// Execute implements flags.Commander.
func (c *vmList) Execute([]string) error {
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		members, err := p.ListMembers(ctx)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, m := range members {
			rows = append(rows, []string{
				string(m.VM),
				m.Address.String(),
				string(m.Domain),
				strconv.FormatBool(m.Leaving),
			})
		}
		return c.app.printTable(members, "VM ADDRESS DOMAIN LEAVING", rows)
	})
}

type keyNew struct {
	app *app
}

// newKey is the output of "key new".
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Execute implements flags.Commander.
func (c *keyNew) Execute([]string) error {
	key, hash, err := config.NewKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	result := newKey{
		Key:  key,
		Hash: hash,
	}
	return c.app.printResult(result, "%s", fmt.Sprintf("key   %s\nhash  %s", key, hash))
}
