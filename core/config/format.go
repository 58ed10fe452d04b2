package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Marshal returns the document as canonical INI: equal content yields equal
// bytes. Parse is its inverse, except that the version isn't part of the text.
func (d Document) Marshal() []byte {
	return []byte(d.String())
}

// Digest returns the SHA-256 of the marshalled document in hex.
func (d Document) Digest() string {
	return Digest(d.Marshal())
}

// Digest returns the SHA-256 of a text in hex.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// String returns the document as INI.
func (d Document) String() string {
	var b strings.Builder
	writeLimits(&b, d.Limits)
	for _, r := range d.Ranks {
		writeRank(&b, r)
	}
	for _, a := range d.Accounts {
		writeAccount(&b, a)
	}
	for _, budget := range d.Budgets {
		fmt.Fprintf(&b, "\n[budget %s]\naccount = %s\n", budget.Name, budget.Account)
	}
	for _, e := range d.Endpoints {
		writeEndpoint(&b, e)
	}
	return b.String()
}

func writeLimits(b *strings.Builder, l Limits) {
	b.WriteString("[limits]\n")
	fmt.Fprintf(b, "max_prompt = %d\n", l.MaxPrompt)
	fmt.Fprintf(b, "max_output = %d\n", l.MaxOutput)
	fmt.Fprintf(b, "default_output = %d\n", l.DefaultOutput)
	fmt.Fprintf(b, "body_timeout = %v\n", l.BodyTimeout)
	if l.EvacuatedDomains != "" {
		fmt.Fprintf(b, "evacuated_domains = %s\n", l.EvacuatedDomains)
	}
}

func writeRank(b *strings.Builder, r Rank) {
	fmt.Fprintf(b, "\n[rank %s]\n", r.Name)
	fmt.Fprintf(b, "level = %d\n", r.Level)
	fmt.Fprintf(b, "first_token = %v\n", r.FirstToken)
	fmt.Fprintf(b, "between_tokens = %v\n", r.BetweenTokens)
	fmt.Fprintf(b, "floor = %s\n", formatFloat(r.Floor))
	fmt.Fprintf(b, "worth = %s\n", formatFloat(r.Worth))
}

func writeAccount(b *strings.Builder, a Account) {
	fmt.Fprintf(b, "\n[account %s]\n", a.Name)
	fmt.Fprintf(b, "key_hashes = %s\n", strings.Join(a.KeyHashes, ", "))
	fmt.Fprintf(b, "rank = %s\n", a.Rank)
	fmt.Fprintf(b, "budget = %s\n", a.Budget)
	fmt.Fprintf(b, "weight = %s\n", formatFloat(a.Weight))
	fmt.Fprintf(b, "spread = %d\n", a.Spread)
}

func writeEndpoint(b *strings.Builder, e Endpoint) {
	models := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		models = append(models, string(m))
	}
	fmt.Fprintf(b, "\n[endpoint %s]\n", e.Name)
	fmt.Fprintf(b, "address = %s\n", e.Address)
	fmt.Fprintf(b, "kind = %s\n", e.Kind)
	fmt.Fprintf(b, "models = %s\n", strings.Join(models, ", "))
	fmt.Fprintf(b, "domain = %s\n", e.Domain)
	fmt.Fprintf(b, "fencing = %t\n", e.Fencing)
	fmt.Fprintf(b, "idempotent = %t\n", e.Idempotent)
	fmt.Fprintf(b, "concurrency = %d\n", e.Concurrency)
	if e.Kind == ModelKind {
		fmt.Fprintf(b, "token_rate = %s\n", formatFloat(e.TokenRate))
	} else {
		fmt.Fprintf(b, "price = %d\n", e.Price)
	}
	if e.Version != "" {
		fmt.Fprintf(b, "version = %s\n", e.Version)
	}
	fmt.Fprintf(b, "leaving = %t\n", e.Leaving)
}

// formatFloat returns the shortest decimal that parses to the same value.
func formatFloat(x float64) string {
	return strconv.FormatFloat(x, 'g', -1, 64)
}
