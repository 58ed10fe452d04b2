package config

import (
	"testing"
	"time"
)

// checkParts checks that the table has the text of the current version, every
// part of its manifests, and no part that is in none of them.
func (s *simulation) checkParts() {
	used := make(map[string]bool)
	for _, row := range s.table.list(DocPrefix(Production)) {
		m, err := ParseManifest(row.Value)
		if err != nil {
			s.t.Fatalf("%v", err)
		}
		for _, digest := range m.Parts {
			key := PartKey(Production, digest)
			used[key] = true
			if s.table.rows[key].Version == 0 {
				s.t.Fatalf("%s lacks part %s", row.Key, digest)
			}
		}
	}
	for _, row := range s.table.list(PartKey(Production, "")) {
		if !used[row.Key] {
			s.t.Fatalf("%s belongs to no version", row.Key)
		}
	}
	if h := s.currentHead(); h.Version > 0 && s.table.rows[DocKey(Production, h.Version)].Version == 0 {
		s.t.Fatalf("the current version %d has no text", h.Version)
	}
}

// TestPruneDuringChange runs a Prune while a change submits the text of an old
// version that the Prune deletes: no part of the new version may be lost.
func TestPruneDuringChange(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.lossy = false
	for range 5 {
		s.submitChange(Newest)
		s.run(time.Second)
	}
	s.submitChange(Newest)
	s.prunes = append(s.prunes, NewPrune(Production, 0))
	s.run(3 * time.Second)
	s.checkParts()
	deleted, err := s.prunes[0].Result()
	if s.currentHead().Version != 6 || deleted != 5 || err != nil {
		t.Fatalf("version %d, %d deleted, %v", s.currentHead().Version, deleted, err)
	}
}
