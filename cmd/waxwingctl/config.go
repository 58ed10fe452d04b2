package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/io/platform"
)

// readVersion returns the text and the parsed document of a version in the
// table.
func readVersion(ctx context.Context, t waxwingwall.Table, environment string, h config.Head) (string, config.Document, error) {
	row, err := t.Get(ctx, config.DocKey(environment, h.Version))
	if err != nil {
		return "", config.Document{}, err
	}
	if row.Version == 0 {
		return "", config.Document{}, trace.NotFound("the text of version %d of %s was deleted", h.Version, environment)
	}
	m, err := config.ParseManifest(row.Value)
	if err != nil {
		return "", config.Document{}, err
	}
	var parts []string
	for _, digest := range m.Parts {
		part, err := t.Get(ctx, config.PartKey(environment, digest))
		if err != nil {
			return "", config.Document{}, err
		}
		parts = append(parts, part.Value)
	}
	text, err := config.Join(h, row.Value, parts)
	if err != nil {
		return "", config.Document{}, err
	}
	doc, err := config.Parse([]byte(text))
	if err != nil {
		return "", config.Document{}, trace.Wrap(err)
	}
	doc.Version = h.Version
	return text, doc, nil
}

// readHead returns the version recorded under key; its Version is 0 if there is
// none.
func readHead(ctx context.Context, t waxwingwall.Table, key string) (config.Head, error) {
	row, err := t.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return config.Head{}, err
	}
	return config.ParseHead(row.Value)
}

// currentDocument returns the current document, or an empty one if there is none.
func currentDocument(ctx context.Context, t waxwingwall.Table, environment string) (config.Document, error) {
	h, err := readHead(ctx, t, config.CurrentKey(environment))
	if err != nil || h.Version == 0 {
		return config.Document{}, err
	}
	_, doc, err := readVersion(ctx, t, environment, h)
	return doc, err
}

// parseFile reads and parses a document.
func parseFile(path string) ([]byte, config.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, config.Document{}, &usageError{
			err: trace.ConvertSystemError(err),
		}
	}
	doc, err := config.ParseFile(path, text)
	return text, doc, err
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// configCheck checks a file locally.
type configCheck struct {
	Args fileArgument `positional-args:"yes"`
	app  *app
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	_, doc, err := parseFile(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.printResult(doc, "sound: %d accounts, %d budgets, %d ranks, %d endpoints",
		len(doc.Accounts), len(doc.Budgets), len(doc.Ranks), len(doc.Endpoints))
}

// configDiff compares a file with the current document.
type configDiff struct {
	Args fileArgument `positional-args:"yes"`
	app  *app
}

// Execute implements flags.Commander.
func (c *configDiff) Execute([]string) error {
	_, doc, err := parseFile(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		before, err := currentDocument(ctx, p, c.app.Environment)
		if err != nil {
			return err
		}
		return c.app.showDiff(config.Diff(before, doc))
	})
}

// showDiff prints differences, with one line for a section that was added or
// removed.
func (a *app) showDiff(differences []config.Difference) error {
	if a.JSON {
		return a.printJSON(differences)
	}
	last := ""
	for _, d := range differences {
		line := d.String()
		switch {
		case d.Added:
			line = "+ [" + d.Section + "]"
		case d.Removed:
			line = "- [" + d.Section + "]"
		}
		if line == last {
			continue
		}
		last = line
		if _, err := fmt.Fprintln(a.out, line); err != nil {
			return err
		}
	}
	return nil
}

// change holds the options of commands that change the configuration.
type change struct {
	Base    int64         `long:"base" default:"-1" description:"version that the change is to follow; -1 for whatever is in force"`
	Comment string        `long:"comment" short:"m" description:"comment for the history"`
	Wait    time.Duration `long:"wait" default:"5s" description:"with --router: how long to wait until that router has the version in force"`
}

// changeResult is the output of a change.
type changeResult struct {
	Environment string              `json:"environment"`
	Head        config.Head         `json:"head"`
	Diff        []config.Difference `json:"diff"`
}

// apply completes a request, writes the change to the table and prints the
// result.
func (c *change) apply(ctx context.Context, a *app, p *platform.Client, r config.Request, after config.Document) error {
	before, err := currentDocument(ctx, p, r.Environment)
	if err != nil {
		return err
	}
	id := make([]byte, 16)
	if _, err := rand.Read(id); err != nil {
		return trace.Wrap(err)
	}
	r.ID = hex.EncodeToString(id)
	r.Base = c.Base
	if r.Base == config.Newest {
		r.Base = before.Version
	}
	r.Author = a.author()
	r.Time = a.now()
	r.Comment = c.Comment
	plan := config.NewChange(r)
	if err := runPlan(ctx, p, plan); err != nil {
		return err
	}
	h, err := plan.Result()
	if err != nil {
		return err
	}
	result := changeResult{
		Environment: r.Environment,
		Head:        h,
		Diff:        config.Diff(before, after),
	}
	if !a.JSON {
		if err := a.showDiff(result.Diff); err != nil {
			return err
		}
	}
	if err := a.printResult(result, "version %d is in force in %s", h.Version, r.Environment); err != nil {
		return err
	}
	if a.Router == "" {
		return nil
	}
	return a.waitForVersion(r.Environment, h.Version, c.Wait)
}

func (a *app) author() string {
	if a.Author != "" {
		return a.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// configTry makes a file the current version of the trial environment.
type configTry struct {
	change
	In   string       `long:"in" default:"trial" description:"environment to try it in"`
	Args fileArgument `positional-args:"yes"`
	app  *app
}

// Execute implements flags.Commander.
func (c *configTry) Execute([]string) error {
	text, doc, err := parseFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.In == config.Production {
		return usagef("production takes only versions that were tried: use promote")
	}
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		return c.apply(ctx, c.app, p, config.Request{
			Environment: c.In,
			Text:        text,
		}, doc)
	})
}

// configPromote makes a tried version the current one of an environment.
type configPromote struct {
	change
	From string `long:"from" default:"trial" description:"environment where the version was tried"`
	Args struct {
		Version int64 `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes"`
	app *app
}

// Execute implements flags.Commander.
func (c *configPromote) Execute([]string) error {
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		h, err := readHead(ctx, p, config.HistoryKey(c.From, c.Args.Version))
		if err != nil {
			return err
		}
		if h.Version == 0 {
			return trace.Wrap(config.ErrNotTried)
		}
		_, doc, err := readVersion(ctx, p, c.From, h)
		if err != nil {
			return err
		}
		return c.apply(ctx, c.app, p, config.Request{
			Environment: c.app.Environment,
			From:        c.From,
			Tried:       c.Args.Version,
		}, doc)
	})
}

// configShow prints the text of a version.
type configShow struct {
	Version int64 `long:"version" description:"version to show; the one in force otherwise"`
	app     *app
}

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		key := config.CurrentKey(c.app.Environment)
		if c.Version > 0 {
			key = config.HistoryKey(c.app.Environment, c.Version)
		}
		h, err := readHead(ctx, p, key)
		if err != nil {
			return err
		}
		if h.Version == 0 {
			return trace.NotFound("no such version in %s", c.app.Environment)
		}
		text, doc, err := readVersion(ctx, p, c.app.Environment, h)
		if err != nil {
			return err
		}
		if c.app.JSON {
			return c.app.printJSON(doc)
		}
		_, err = fmt.Fprintf(c.app.out, "# version %d of %s, by %s, %s\n%s",
			h.Version, c.app.Environment, h.Author, h.Time.Format(time.RFC3339), text)
		return err
	})
}

// configHistory lists all versions.
type configHistory struct {
	app *app
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		historyRows, err := p.List(ctx, config.HistoryPrefix(c.app.Environment))
		if err != nil {
			return err
		}
		var heads []config.Head
		var rows [][]string
		for _, r := range historyRows {
			h, err := config.ParseHead(r.Value)
			if err != nil {
				return err
			}
			heads = append(heads, h)
			rows = append(rows, []string{
				strconv.FormatInt(h.Version, 10),
				h.Time.Format(time.RFC3339),
				h.Author,
				strconv.FormatInt(h.Tried, 10),
				h.Comment,
			})
		}
		return c.app.printTable(heads, "VERSION TIME AUTHOR TRIED COMMENT", rows)
	})
}

// configPrune deletes the texts of old versions.
type configPrune struct {
	Keep int64 `long:"keep" default:"1000" description:"how many versions before the one in force keep their text"`
	app  *app
}

// pruneResult is the output of a prune.
type pruneResult struct {
	Environment string `json:"environment"`
	Versions    int    `json:"versions"`
}

// Execute implements flags.Commander.
func (c *configPrune) Execute([]string) error {
	if c.Keep < 0 {
		return usagef("--keep %d: want 0 or more", c.Keep)
	}
	return c.app.withTable(func(ctx context.Context, p *platform.Client) error {
		plan := config.NewPrune(c.app.Environment, c.Keep)
		if err := runPlan(ctx, p, plan); err != nil {
			return err
		}
		n, err := plan.Result()
		if err != nil {
			return err
		}
		result := pruneResult{
			Environment: c.app.Environment,
			Versions:    n,
		}
		return c.app.printResult(result, "deleted the texts of %d versions of %s", n, c.app.Environment)
	})
}
