package config

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/config/ini"
)

// Error is one error in a document, with its line.
type Error = ini.Error

// Errors are all errors in a document, sorted by line.
type Errors = ini.Errors

// Bounds of values.
const (
	maxTokens      waxwingwall.Tokens = 100_000_000
	maxLevel       waxwingwall.Rank   = 31
	maxDuration                       = 24 * time.Hour
	maxWeight                         = 1e6
	maxWorth                          = 1e9
	maxSpread                         = 4096
	maxConcurrency                    = 1_000_000
	maxTokenRate                      = 1e9
	floorTolerance                    = 1e-9
)

// Default values.
const (
	defaultMaxPrompt     waxwingwall.Tokens = 32_768
	defaultMaxOutput     waxwingwall.Tokens = 4_096
	defaultOutput        waxwingwall.Tokens = 512
	defaultBodyTimeout                      = 10 * time.Second
	defaultWeight                           = 1.0
	defaultWorth                            = 1.0
	defaultSpread                           = 1
	defaultConcurrency                      = 16
	defaultTokenRate                        = 50.0
	defaultServicePrice  waxwingwall.Tokens = 1
	defaultFirstToken                       = time.Second
	defaultBetweenTokens                    = 100 * time.Millisecond
)

// parser holds a document while it is parsed.
type parser struct {
	file *ini.File
	doc  Document

	// sections maps section names, kind and name, to the parsed sections.
	sections map[string]*ini.Section
}

// Parse parses and validates a document. The error is of type Errors.
func Parse(text []byte) (Document, error) {
	return ParseFile("", text)
}

// ParseFile is like Parse, with a file name for the errors.
func ParseFile(name string, text []byte) (Document, error) {
	p := parse(name, text)
	if err := p.file.Err(); err != nil {
		return Document{}, err
	}
	return p.doc, nil
}

func parse(name string, text []byte) *parser {
	p := parseSections(name, text)
	if p.file.Find("limits") == nil {
		p.limits(p.file.FindOrAdd("limits"))
	}
	p.sort()
	p.check()
	return p
}

// parseSections parses all sections without cross-checks between them.
func parseSections(name string, text []byte) *parser {
	p := &parser{
		file:     ini.Parse(name, text),
		sections: make(map[string]*ini.Section),
	}
	for _, s := range p.file.Sections {
		p.section(s)
	}
	return p
}

// section parses one section; the first word of its name is its kind.
func (p *parser) section(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name, " ")
	if s.Name == "limits" {
		p.limits(s)
		return
	}
	parsers := map[string]func(*ini.Section, string){
		"account":  p.account,
		"budget":   p.budget,
		"rank":     p.rank,
		"endpoint": p.endpoint,
	}
	parseSection, ok := parsers[kind]
	if !ok {
		s.Reject("unknown section")
		return
	}
	if _, err := ini.Name[string](name); err != nil {
		s.Reject(err.Error())
		return
	}
	p.sections[s.Name] = s
	parseSection(s, name)
}

func (p *parser) limits(s *ini.Section) {
	tokens := ini.Int(1, maxTokens)
	p.doc.Limits = Limits{
		MaxPrompt:     ini.Get(s, "max_prompt", tokens, defaultMaxPrompt),
		MaxOutput:     ini.Get(s, "max_output", tokens, defaultMaxOutput),
		DefaultOutput: ini.Get(s, "default_output", tokens, defaultOutput),
		BodyTimeout:   ini.Get(s, "body_timeout", ini.Duration(time.Millisecond, maxDuration), defaultBodyTimeout),
	}
	domains := ini.Get(s, "evacuated_domains", ini.List(ini.Name[string]), nil)
	sort.Strings(domains)
	p.doc.Limits.EvacuatedDomains = strings.Join(slices.Compact(domains), domainSeparator)
	if p.doc.Limits.DefaultOutput > p.doc.Limits.MaxOutput {
		s.Fail("default_output", "above max_output")
	}
}

func (p *parser) account(s *ini.Section, name string) {
	keys := ini.Get(s, "key_hashes", ini.List(ParseKeyHash))
	sort.Strings(keys)
	p.doc.Accounts = append(p.doc.Accounts, Account{
		Name:      waxwingwall.Account(name),
		KeyHashes: keys,
		Rank:      ini.Get(s, "rank", ini.Name[string]),
		Budget:    ini.Get(s, "budget", ini.Name[waxwingwall.Budget]),
		Weight:    ini.Get(s, "weight", ini.Float(1/maxWeight, maxWeight), defaultWeight),
		Spread:    ini.Get(s, "spread", ini.Int(1, maxSpread), defaultSpread),
	})
}

func (p *parser) budget(s *ini.Section, name string) {
	p.doc.Budgets = append(p.doc.Budgets, Budget{
		Name:    waxwingwall.Budget(name),
		Account: ini.Get(s, "account", ini.Name[waxwingwall.Account]),
	})
}

func (p *parser) rank(s *ini.Section, name string) {
	target := ini.Duration(time.Millisecond, maxDuration)
	p.doc.Ranks = append(p.doc.Ranks, Rank{
		Name:          name,
		Level:         ini.Get(s, "level", ini.Int(0, maxLevel)),
		FirstToken:    ini.Get(s, "first_token", target, defaultFirstToken),
		BetweenTokens: ini.Get(s, "between_tokens", target, defaultBetweenTokens),
		Floor:         ini.Get(s, "floor", ini.Float(0, 1), 0),
		Worth:         ini.Get(s, "worth", ini.Float(0, maxWorth), defaultWorth),
	})
}

func (p *parser) endpoint(s *ini.Section, name string) {
	kind := ini.Get(s, "kind", ini.OneOf(ModelKind, ServiceKind))
	parseModel := ini.Path[waxwingwall.Model]
	if kind == ServiceKind {
		parseModel = ini.Name[waxwingwall.Model]
	}
	models := ini.Get(s, "models", ini.List(parseModel))
	sort.Slice(models, func(i, j int) bool { return models[i] < models[j] })
	e := Endpoint{
		Name:        waxwingwall.Endpoint(name),
		Address:     ini.Get(s, "address", ini.AddrPort),
		Kind:        kind,
		Models:      models,
		Domain:      ini.Get(s, "domain", ini.Name[waxwingwall.Domain]),
		Fencing:     ini.Get(s, "fencing", ini.Bool, false),
		Idempotent:  ini.Get(s, "idempotent", ini.Bool),
		Concurrency: ini.Get(s, "concurrency", ini.Int(1, maxConcurrency), defaultConcurrency),
		Version:     ini.Get(s, "version", ini.Name[string], ""),
		Leaving:     ini.Get(s, "leaving", ini.Bool, false),
	}
	rate := ini.Get(s, "token_rate", ini.Float(1/maxTokenRate, maxTokenRate), defaultTokenRate)
	price := ini.Get(s, "price", ini.Int(0, maxTokens), defaultServicePrice)
	if e.Kind == ModelKind {
		e.TokenRate = rate
		failIfSet(s, "price", "only services have a price")
	}
	if e.Kind == ServiceKind {
		e.Price = price
		failIfSet(s, "token_rate", "only models have a token rate")
	}
	p.doc.Endpoints = append(p.doc.Endpoints, e)
}

func failIfSet(s *ini.Section, key, reason string) {
	if s.Has(key) {
		s.Fail(key, reason)
	}
}

func (p *parser) sort() {
	d := &p.doc
	slices.SortStableFunc(d.Accounts, compareAccounts)
	slices.SortStableFunc(d.Budgets, compareBudgets)
	slices.SortStableFunc(d.Endpoints, compareEndpoints)
	slices.SortStableFunc(d.Ranks, compareRanks)
}

// check validates references and uniqueness across sections.
func (p *parser) check() {
	p.checkRanks()
	p.checkAccounts()
	for _, b := range p.doc.Budgets {
		if _, ok := p.doc.Account(b.Account); !ok && b.Account != "" {
			p.fail("budget", string(b.Name), "account", fmt.Sprintf("no account %q", b.Account))
		}
	}
	p.checkEndpoints()
}

func (p *parser) checkRanks() {
	levels := make(map[waxwingwall.Rank]string)
	sum := 0.0
	for _, r := range p.doc.Ranks {
		if other, taken := levels[r.Level]; taken {
			p.fail("rank", r.Name, "level", fmt.Sprintf("rank %q has level %d as well", other, r.Level))
		}
		levels[r.Level] = r.Name
		sum += r.Floor
		if sum > 1+floorTolerance && sum-r.Floor <= 1+floorTolerance {
			p.fail("rank", r.Name, "floor", fmt.Sprintf("floors up to this rank sum to %v, above 1", math.Round(sum*1e6)/1e6))
		}
	}
}

func (p *parser) checkAccounts() {
	owners := make(map[string]waxwingwall.Account)
	for _, a := range p.doc.Accounts {
		name := string(a.Name)
		for _, h := range a.KeyHashes {
			if other, taken := owners[h]; taken {
				p.fail("account", name, "key_hashes", fmt.Sprintf("%s... is a key of account %q as well", shortHash(h), other))
			}
			owners[h] = a.Name
		}
		if _, ok := p.doc.Rank(a.Rank); !ok && a.Rank != "" {
			p.fail("account", name, "rank", fmt.Sprintf("no rank %q", a.Rank))
		}
		if a.Budget == "" {
			continue
		}
		b, ok := p.doc.Budget(a.Budget)
		if !ok {
			p.fail("account", name, "budget", fmt.Sprintf("no budget %q", a.Budget))
		} else if b.Account != a.Name {
			p.fail("account", name, "budget", fmt.Sprintf("budget %q is of account %q", a.Budget, b.Account))
		}
	}
}

func (p *parser) checkEndpoints() {
	addresses := make(map[string]waxwingwall.Endpoint)
	for _, e := range p.doc.Endpoints {
		name := string(e.Name)
		for i, m := range e.Models {
			if i > 0 && e.Models[i-1] == m {
				p.fail("endpoint", name, "models", fmt.Sprintf("%q given twice", m))
			}
		}
		if p.sections["endpoint "+name].Has("models") && len(e.Models) == 0 {
			p.fail("endpoint", name, "models", "none given")
		}
		if !e.Address.IsValid() {
			continue
		}
		if other, taken := addresses[e.Address.String()]; taken {
			p.fail("endpoint", name, "address", fmt.Sprintf("endpoint %q has it as well", other))
		}
		addresses[e.Address.String()] = e.Name
	}
}

func (p *parser) fail(kind, name, key, reason string) {
	p.sections[kind+" "+name].Fail(key, reason)
}
