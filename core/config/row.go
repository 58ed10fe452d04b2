package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sectionsPerPart is about how many sections one part holds. It weighs the size
// of a part, which is fetched when one of its sections changes, against the
// length of the manifest, which is fetched with every version.
const sectionsPerPart = 512

// Head says which version of a document is in force and how it came about. It
// is the content of the rows current and history, in JSON.
type Head struct {
	// Version is raised by one with each accepted change.
	Version int64 `json:"version"`

	// Digest is the SHA-256 of the version's manifest.
	Digest string `json:"digest"`

	// Author made the change.
	Author string `json:"author"`

	// Time is when the change was asked for, by its author's clock.
	Time time.Time `json:"time"`

	// Change is an ID of the change that no other change has.
	Change string `json:"change"`

	// Tried is the version of the environment that the document was promoted
	// from; 0 for one that wasn't promoted.
	Tried int64 `json:"tried"`

	// Comment is the author's.
	Comment string `json:"comment"`
}

// Manifest lists the parts of a version's text. It is the content of the row
// doc, in JSON. Parts are cut at sections whose name decides, so that a change
// of one section leaves all other parts as they were, and a router fetches
// only the parts that it lacks.
type Manifest struct {
	// Parts are the SHA-256 of the parts in the order of the text.
	Parts []string `json:"parts"`
}

// CurrentKey is the key of the row with the Head in force.
func CurrentKey(environment string) string {
	return "config/" + environment + "/current"
}

// DocKey is the key of the row with a version's Manifest.
func DocKey(environment string, version int64) string {
	return DocPrefix(environment) + fmt.Sprintf("%012d", version)
}

// HistoryKey is the key of the row with a version's Head.
func HistoryKey(environment string, version int64) string {
	return HistoryPrefix(environment) + fmt.Sprintf("%012d", version)
}

// HistoryPrefix begins the keys of an environment's history.
func HistoryPrefix(environment string) string {
	return "config/" + environment + "/history/"
}

// DocPrefix begins the keys of an environment's manifests.
func DocPrefix(environment string) string {
	return "config/" + environment + "/doc/"
}

// PartKey is the key of the row with a part's text.
func PartKey(environment, digest string) string {
	return "config/" + environment + "/part/" + digest
}

// ParseHead reads the content of a row current or history.
func ParseHead(value string) (Head, error) {
	var h Head
	if err := json.Unmarshal([]byte(value), &h); err != nil {
		return Head{}, fmt.Errorf("configuration head: %w", err)
	}
	return h, nil
}

// encodeJSON writes a Head or a Manifest. Their fields can't fail to encode.
func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// ParseManifest reads the content of a row doc.
func ParseManifest(value string) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal([]byte(value), &m); err != nil {
		return Manifest{}, fmt.Errorf("configuration manifest: %w", err)
	}
	return m, nil
}

// cutParts splits a text before those sections whose header's hash says so.
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

// Join makes a version's text of its manifest's content and its parts, and
// checks both by their digests.
func Join(h Head, manifest string, parts []string) (string, error) {
	if Digest([]byte(manifest)) != h.Digest {
		return "", fmt.Errorf("configuration version %d: the manifest isn't the one of its digest", h.Version)
	}
	m, err := ParseManifest(manifest)
	if err != nil {
		return "", err
	}
	if len(parts) != len(m.Parts) {
		return "", fmt.Errorf("configuration version %d: %d parts of %d", h.Version, len(parts), len(m.Parts))
	}
	for i, p := range parts {
		if Digest([]byte(p)) != m.Parts[i] {
			return "", fmt.Errorf("configuration version %d: part %d isn't the one of its digest", h.Version, i)
		}
	}
	return strings.Join(parts, ""), nil
}

// splitText returns a text's manifest and its parts by digest.
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
