package config

import (
	"testing"
	"time"
)

// checkParts checks that the table has the text of the current version, every
// part of its manifests, and no part that is in none of them.
func (w *simulation) checkParts() {
	used := make(map[string]bool)
	for _, row := range w.table.list(DocPrefix(Production)) {
		m, err := ParseManifest(row.Value)
		if err != nil {
			w.t.Fatalf("%v", err)
		}
		for _, digest := range m.Parts {
			key := PartKey(Production, digest)
			used[key] = true
			if w.table.rows[key].Version == 0 {
				w.t.Fatalf("%s lacks part %s", row.Key, digest)
			}
		}
	}
	for _, row := range w.table.list(PartKey(Production, "")) {
		if !used[row.Key] {
			w.t.Fatalf("%s belongs to no version", row.Key)
		}
	}
	if h := w.currentHead(); h.Version > 0 && w.table.rows[DocKey(Production, h.Version)].Version == 0 {
		w.t.Fatalf("the current version %d has no text", h.Version)
	}
}

// TestPruneDuringChange runs a Prune while a change submits the text of an old
// version that the Prune deletes: no part of the new version may be lost.
func TestPruneDuringChange(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.lossy = false
	for range 5 {
		w.submitChange(Newest)
		w.run(time.Second)
	}
	w.submitChange(Newest)
	w.prunes = append(w.prunes, NewPrune(Production, 0))
	w.run(3 * time.Second)
	w.checkParts()
	deleted, err := w.prunes[0].Result()
	if w.currentHead().Version != 6 || deleted != 5 || err != nil {
		t.Fatalf("version %d, %d deleted, %v", w.currentHead().Version, deleted, err)
	}
}
