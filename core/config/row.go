package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sectionsPerPart is the average number of sections in a part. It balances the
// size of a part, which is fetched when one of its sections changes, against the
// length of the manifest, which is fetched with every version.
const sectionsPerPart = 512

// Limits of a Head: maxVersion leaves room for the versions that follow, digestBytes is
// the length of what Digest returns.
const (
	maxVersion  = 1 << 53
	digestBytes = 64
)

// Head describes a version of a document. It is stored as JSON in the current row
// and in the history row of the version.
type Head struct {
	// Version increases by one with each accepted change.
	Version int64 `json:"version"`

	// Digest is the SHA-256 of the version's manifest.
	Digest string `json:"digest"`

	// Author is the author of the change.
	Author string `json:"author"`

	// Time is the time of the request, by the author's clock.
	Time time.Time `json:"time"`

	// Change is the unique ID of the change.
	Change string `json:"change"`

	// Tried is the promoted version, counted in the environment that it was
	// promoted from; 0 if the document wasn't promoted.
	Tried int64 `json:"tried"`

	// Comment is the author's comment.
	Comment string `json:"comment"`
}

// Manifest lists the parts of a version's text. It is stored as JSON in the doc
// row of the version. Part boundaries depend only on section headers, so a change
// to one section leaves all other parts unchanged, and a router fetches only the
// parts that it doesn't have.
type Manifest struct {
	// Parts are the SHA-256 of the parts in the order of the text.
	Parts []string `json:"parts"`
}

// CurrentKey returns the key of the row with the current Head.
func CurrentKey(environment string) string {
	return "config/" + environment + "/current"
}

// DocKey returns the key of the row with a version's Manifest.
func DocKey(environment string, version int64) string {
	return DocPrefix(environment) + fmt.Sprintf("%012d", version)
}

// HistoryKey returns the key of the row with a version's Head.
func HistoryKey(environment string, version int64) string {
	return HistoryPrefix(environment) + fmt.Sprintf("%012d", version)
}

// HistoryPrefix returns the key prefix of an environment's history.
func HistoryPrefix(environment string) string {
	return "config/" + environment + "/history/"
}

// DocPrefix returns the key prefix of an environment's manifests.
func DocPrefix(environment string) string {
	return "config/" + environment + "/doc/"
}

// PartKey returns the key of the row with a part's text.
func PartKey(environment, digest string) string {
	return "config/" + environment + "/part/" + digest
}

// ParseHead parses the value of a current or history row.
func ParseHead(value string) (Head, error) {
	var h Head
	if err := json.Unmarshal([]byte(value), &h); err != nil {
		return Head{}, fmt.Errorf("configuration head: %w", err)
	}
	if h.Version < 0 || h.Version > maxVersion || len(h.Digest) != digestBytes {
		return Head{}, fmt.Errorf("configuration head: invalid version %d or digest of %d bytes", h.Version, len(h.Digest))
	}
	return h, nil
}

// encodeJSON encodes a Head or a Manifest. Encoding their fields can't fail.
func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// ParseManifest parses the value of a doc row.
func ParseManifest(value string) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal([]byte(value), &m); err != nil {
		return Manifest{}, fmt.Errorf("configuration manifest: %w", err)
	}
	return m, nil
}

// cutParts splits a text before each section whose header hashes to a multiple
// of sectionsPerPart.
func cutParts(text string) []string {
	var parts []string
	start := 0
	for at := 0; at < len(text); {
		end := strings.IndexByte(text[at:], '\n')
		if end < 0 {
			break
		}
		line := text[at : at+end]
		if at > start && strings.HasPrefix(line, "[") && xxhash.Sum64String(line)%sectionsPerPart == 0 {
			parts = append(parts, text[start:at])
			start = at
		}
		at += end + 1
	}
	return append(parts, text[start:])
}

// Join verifies the digests of a version's encoded manifest and parts, and
// returns the version's text.
func Join(h Head, manifest string, parts []string) (string, error) {
	if Digest([]byte(manifest)) != h.Digest {
		return "", fmt.Errorf("configuration version %d: the manifest does not match its digest", h.Version)
	}
	m, err := ParseManifest(manifest)
	if err != nil {
		return "", err
	}
	if len(parts) != len(m.Parts) {
		return "", fmt.Errorf("configuration version %d: got %d parts of %d", h.Version, len(parts), len(m.Parts))
	}
	for i, p := range parts {
		if Digest([]byte(p)) != m.Parts[i] {
			return "", fmt.Errorf("configuration version %d: part %d does not match its digest", h.Version, i)
		}
	}
	return strings.Join(parts, ""), nil
}

// splitText splits a text and returns its manifest and its parts by digest.
func splitText(text string) (Manifest, map[string]string) {
	var m Manifest
	parts := make(map[string]string)
	for _, p := range cutParts(text) {
		digest := Digest([]byte(p))
		m.Parts = append(m.Parts, digest)
		parts[digest] = p
	}
	return m, parts
}
