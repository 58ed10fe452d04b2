package config

import (
	"strconv"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// maxPruneWrites is the maximum number of writes in one transaction of a Prune,
// except for a single version that needs more.
const maxPruneWrites = 900

// Prune is a state machine that deletes the texts of an environment's old
// versions from the table. The history stays. It is stepped until Done.
//
// A version and the parts that only it uses are deleted in one transaction,
// which checks that the current version is the one that was read. So no part is
// deleted that a concurrent change relies on, and an interrupted Prune leaves
// nothing behind that a later one wouldn't find.
type Prune struct {
	environment string
	keep        int64

	// State of the table as read.
	currentRow waxwingwall.Row
	versions   []storedVersion

	// Progress. pendingID is the ID of the action in flight; N is 0 if there is
	// none.
	stage     stage
	pendingID effect.ID
	lastID    uint64
	attempts  int
	retryAt   time.Time
	batchSize int
	deleted   int
	err       error
	out       []effect.Action
}

// storedVersion is a version whose manifest is in the table.
type storedVersion struct {
	version  int64
	row      waxwingwall.Row
	manifest Manifest
}

// NewPrune returns a Prune that keeps the current version and the given number
// of versions before it.
func NewPrune(environment string, keep int64) *Prune {
	return &Prune{
		environment: environment,
		keep:        max(keep, 0),
	}
}

// Done reports whether the Prune has ended.
func (p *Prune) Done() bool {
	return p.stage == done
}

// Result returns the number of deleted versions and the error that stopped the
// Prune, if any: ErrUnresolved if the platform didn't respond, or the error of
// an unreadable row.
func (p *Prune) Result() (int, error) {
	return p.deleted, p.err
}

// Step processes an event. The first one must be a Tick.
func (p *Prune) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case effect.Tick:
		if p.stage != done && p.pendingID.N == 0 && !now.Before(p.retryAt) {
			p.runStage()
		}
	case effect.Rows:
		if e.ID == p.pendingID && p.pendingID.N != 0 {
			p.pendingID = effect.ID{}
			p.handleRows(now, e)
		}
	case effect.Transacted:
		if e.ID == p.pendingID && p.pendingID.N != 0 {
			p.pendingID = effect.ID{}
			p.handleTransacted(now, e)
		}
	}
	out := p.out
	p.out = nil
	return out
}

func (p *Prune) nextID() effect.ID {
	p.lastID++
	p.pendingID = effect.ID{
		Part: Part + ".prune",
		N:    p.lastID,
	}
	return p.pendingID
}

// runStage issues the action of the current stage.
func (p *Prune) runStage() {
	switch p.stage {
	case reading:
		p.out = append(p.out, effect.Read{
			ID:   p.nextID(),
			Keys: []string{CurrentKey(p.environment)},
		})
	case comparing:
		p.out = append(p.out, effect.List{
			ID:     p.nextID(),
			Prefix: DocPrefix(p.environment),
		})
	case writing:
		p.writeBatch()
	case copying, resolving, done:
	}
}

// restart schedules a new read of the table, as the state read before may be
// stale. It fails after maxChangeAttempts.
func (p *Prune) restart(now time.Time) {
	p.attempts++
	p.stage = reading
	p.retryAt = now.Add(changeRetryDelay)
	if p.attempts >= maxChangeAttempts {
		p.stage = done
		p.err = ErrUnresolved
	}
}

func (p *Prune) handleRows(now time.Time, e effect.Rows) {
	if e.Result != effect.Done {
		p.restart(now)
		return
	}
	if p.stage == reading {
		p.currentRow = e.Rows[0]
		p.stage = comparing
		p.runStage()
		return
	}
	if err := p.parseVersions(e.Rows); err != nil {
		p.stage = done
		p.err = err
		return
	}
	p.stage = writing
	p.runStage()
}

// parseVersions parses the listed manifests, which are sorted by version.
func (p *Prune) parseVersions(rows []waxwingwall.Row) error {
	p.versions = nil
	for _, r := range rows {
		version, err := strconv.ParseInt(strings.TrimPrefix(r.Key, DocPrefix(p.environment)), 10, 64)
		if err != nil {
			return err
		}
		m, err := ParseManifest(r.Value)
		if err != nil {
			return err
		}
		p.versions = append(p.versions, storedVersion{
			version:  version,
			row:      r,
			manifest: m,
		})
	}
	return nil
}

// writeBatch issues a transaction that deletes as many of the oldest versions as
// fit into it.
func (p *Prune) writeBatch() {
	head, err := ParseHead(p.currentRow.Value)
	if p.currentRow.Version == 0 || err != nil {
		p.stage = done
		p.err = err
		return
	}
	writes := []waxwingwall.Write{
		{
			Key:       CurrentKey(p.environment),
			Expect:    p.currentRow.Version,
			CheckOnly: true,
		},
	}
	uses := p.countUses()
	p.batchSize = 0
	for _, d := range p.versions {
		if d.version >= head.Version-p.keep {
			break
		}
		deletes := p.deleteWrites(d, uses)
		if p.batchSize > 0 && len(writes)+len(deletes) > maxPruneWrites {
			break
		}
		writes = append(writes, deletes...)
		p.batchSize++
	}
	if p.batchSize == 0 {
		p.stage = done
		return
	}
	p.out = append(p.out, effect.Transact{
		ID:     p.nextID(),
		Writes: writes,
	})
}

// countUses returns the number of references from manifests to each part.
func (p *Prune) countUses() map[string]int {
	uses := make(map[string]int)
	for _, d := range p.versions {
		for _, digest := range d.manifest.Parts {
			uses[digest]++
		}
	}
	return uses
}

// deleteWrites returns the deletes of a version and of the parts that no other
// version uses, and removes the version's references from uses.
func (p *Prune) deleteWrites(d storedVersion, uses map[string]int) []waxwingwall.Write {
	writes := []waxwingwall.Write{
		{
			Key:    d.row.Key,
			Expect: d.row.Version,
			Delete: true,
		},
	}
	for _, digest := range d.manifest.Parts {
		uses[digest]--
		if uses[digest] == 0 {
			writes = append(writes, waxwingwall.Write{
				Key:    PartKey(p.environment, digest),
				Expect: waxwingwall.AnyVersion,
				Delete: true,
			})
		}
	}
	return writes
}

func (p *Prune) handleTransacted(now time.Time, e effect.Transacted) {
	if e.Result != effect.Done {
		p.restart(now)
		return
	}
	p.deleted += p.batchSize
	p.versions = p.versions[p.batchSize:]
	p.attempts = 0
	p.runStage()
}
