package config

import (
	"strconv"
	"strings"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// maxPruneWrites is how many writes one transaction of a Prune has at most,
// but for a single version with more.
const maxPruneWrites = 900

// Prune deletes the texts of an environment's old versions from the table. The
// history stays. It is stepped until Done.
//
// A version and the parts that only it has go in one transaction, which checks
// that the version in force is the one that was read. So a part that a change
// under way relies on isn't lost, and a Prune that is broken off leaves nothing
// that a later one wouldn't find.
type Prune struct {
	environment string
	keep        int64

	// What was read.
	currentRow waxwingwall.Row
	versions   []storedVersion

	// Work under way.
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

// storedVersion is a version in the table.
type storedVersion struct {
	version  int64
	row      waxwingwall.Row
	manifest Manifest
}

// NewPrune returns a Prune that keeps the version in force and the given number
// of versions before it.
func NewPrune(environment string, keep int64) *Prune {
	return &Prune{
		environment: environment,
		keep:        max(keep, 0),
	}
}

// Done reports whether the Prune came to an end.
func (p *Prune) Done() bool {
	return p.stage == done
}

// Result returns how many versions were deleted, and why not all were: nil, or
// ErrUnresolved if the platform didn't answer.
func (p *Prune) Result() (int, error) {
	return p.deleted, p.err
}

// Step tells the Prune of an event. The first is a Tick.
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

// runStage does what the stage asks for.
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

// restart starts over: what was read may be out of date.
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

// parseVersions reads the versions in the table. They come in order.
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

// writeBatch deletes the oldest versions, as many as fit in a transaction.
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
		more := p.deleteWrites(d, uses)
		if p.batchSize > 0 && len(writes)+len(more) > maxPruneWrites {
			break
		}
		writes = append(writes, more...)
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

// countUses counts in how many versions each part is.
func (p *Prune) countUses() map[string]int {
	uses := make(map[string]int)
	for _, d := range p.versions {
		for _, digest := range d.manifest.Parts {
			uses[digest]++
		}
	}
	return uses
}

// deleteWrites returns the deletes of a version and of the parts that no other has,
// and takes it out of the uses.
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
