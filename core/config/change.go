package config

import (
	"errors"
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// maxChangeAttempts is how often a step of a change is tried when answers are
	// lost.
	maxChangeAttempts = 8

	// changeRetryDelay is the time between two tries.
	changeRetryDelay = 250 * time.Millisecond

	// maxNewParts is how many new parts one change writes at most; the table
	// takes 1000 writes in one transaction.
	maxNewParts = 990
)

// Newest as the Base of a change accepts whatever is in force.
const Newest int64 = -1

// Errors of a change.
var (
	// ErrUnchanged means that the version in force has this very text.
	ErrUnchanged = errors.New("the version in force has the same text")

	// ErrNotTried means that no such version was tried.
	ErrNotTried = errors.New("no such version was tried")

	// ErrUnresolved means that the platform didn't answer. The change may have
	// been accepted, or may yet be; the history tells.
	ErrUnresolved = errors.New("the platform doesn't answer; the history will tell whether the change was accepted")

	// ErrTooLarge means that the change touches too much for one transaction.
	ErrTooLarge = errors.New("the change touches too many parts for one transaction")
)

// ConflictError means that another change came first.
type ConflictError struct {
	// Base is the version that this change was to follow.
	Base int64

	// Winner is what is in force in its place.
	Winner Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: version %d was followed by version %d of %s, accepted %s",
		e.Base, e.Winner.Version, e.Winner.Author, e.Winner.Time.UTC().Format(time.RFC3339))
}

// Request is a change that an operator asks for.
type Request struct {
	// Environment is the environment to change.
	Environment string

	// Base is the version that the change follows, or Newest.
	Base int64

	// From is the environment whose version is promoted; empty for a new
	// text.
	From string

	// Tried is the version to promote.
	Tried int64

	// Text is the new text; empty for a promotion. It has passed Parse.
	Text []byte

	// Author, Time and Comment go into the history.
	Author  string
	Time    time.Time
	Comment string

	// ID is one that no other change has, such as 128 random bits in hex. A
	// lost answer is resolved by looking for it.
	ID string
}

// Change carries out one Request. It is stepped until Done; Result tells what
// came of it. The write is one transaction that expects the row of the version
// in force as it was read, so of several changes to one base at most one is
// accepted. When the answer is lost, the history row of the new version tells
// whose change made it.
type Change struct {
	request Request
	stage   stage

	// What was read before the write.
	currentRow      waxwingwall.Row
	currentHead     Head
	currentManifest Manifest
	newManifest     Manifest
	parts           map[string]string
	triedRows       []waxwingwall.Row

	// Work under way.
	pendingID effect.ID
	lastID    uint64
	attempts  int
	retryAt   time.Time
	accepted  Head
	err       error
	out       []effect.Action
}

// stage is how far a Change has come.
type stage int

const (
	// reading is the reading of the versions in force and to promote.
	reading stage = iota

	// comparing is the reading of the manifest of the version in force.
	comparing

	// copying is the reading of the parts to promote.
	copying

	// writing is the transaction.
	writing

	// resolving is the reading of who made the new version.
	resolving

	// done is the end.
	done
)

// NewChange returns a Change that carries out a Request.
func NewChange(r Request) *Change {
	return &Change{
		request: r,
	}
}

// Done reports whether the change came to an end.
func (c *Change) Done() bool {
	return c.stage == done
}

// Result returns the accepted version, or why there is none: a
// *ConflictError, or one of the errors of this package.
func (c *Change) Result() (Head, error) {
	return c.accepted, c.err
}

// Step tells the Change of an event. The first is a Tick.
func (c *Change) Step(now time.Time, ev effect.Event) []effect.Action {
	switch e := ev.(type) {
	case effect.Tick:
		if c.stage != done && c.pendingID.N == 0 && !now.Before(c.retryAt) {
			c.runStage()
		}
	case effect.Rows:
		if e.ID == c.pendingID && c.pendingID.N != 0 {
			c.pendingID = effect.ID{}
			c.handleRows(now, e)
		}
	case effect.Transacted:
		if e.ID == c.pendingID && c.pendingID.N != 0 {
			c.pendingID = effect.ID{}
			c.handleTransacted(now, e)
		}
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Change) nextID() effect.ID {
	c.lastID++
	c.pendingID = effect.ID{
		Part: Part + ".change",
		N:    c.lastID,
	}
	return c.pendingID
}

func (c *Change) read(keys ...string) {
	c.out = append(c.out, effect.Read{
		ID:   c.nextID(),
		Keys: keys,
	})
}

// runStage does what the stage asks for.
func (c *Change) runStage() {
	r := c.request
	switch c.stage {
	case reading:
		keys := []string{CurrentKey(r.Environment)}
		if r.From != "" {
			keys = append(keys, DocKey(r.From, r.Tried), HistoryKey(r.From, r.Tried))
		}
		c.read(keys...)
	case comparing:
		c.read(DocKey(r.Environment, c.currentHead.Version))
	case copying:
		c.readParts()
	case writing:
		c.write()
	case resolving:
		c.read(CurrentKey(r.Environment), HistoryKey(r.Environment, c.currentHead.Version+1))
	case done:
	}
}

func (c *Change) enterStage(s stage) {
	c.stage = s
	c.runStage()
}

func (c *Change) finish(head Head, err error) {
	c.accepted = head
	c.err = err
	c.stage = done
}

// retry waits and repeats the stage, or gives up.
func (c *Change) retry(now time.Time) {
	c.attempts++
	if c.attempts >= maxChangeAttempts {
		c.finish(Head{}, ErrUnresolved)
		return
	}
	c.retryAt = now.Add(changeRetryDelay)
}

func (c *Change) handleRows(now time.Time, e effect.Rows) {
	if e.Result != effect.Done {
		c.retry(now)
		return
	}
	switch c.stage {
	case reading:
		c.handleCurrent(e.Rows)
	case comparing:
		c.handleManifest(e.Rows[0])
	case copying:
		c.handleParts(e.Rows)
	case resolving:
		c.handleWinner(now, e.Rows)
	case writing, done:
	}
}

// handleCurrent checks the base and prepares the parts.
func (c *Change) handleCurrent(rows []waxwingwall.Row) {
	c.currentRow = rows[0]
	if rows[0].Version > 0 {
		head, err := ParseHead(rows[0].Value)
		if err != nil {
			c.finish(Head{}, err)
			return
		}
		c.currentHead = head
	}
	if b := c.request.Base; b != Newest && b != c.currentHead.Version {
		c.finishConflict(c.currentHead)
		return
	}
	if c.request.From == "" {
		c.newManifest, c.parts = splitText(string(c.request.Text))
	} else if !c.handleTried(rows[1:]) {
		return
	}
	if c.currentHead.Version > 0 && c.currentHead.Digest == Digest([]byte(encodeJSON(c.newManifest))) {
		c.finish(Head{}, ErrUnchanged)
		return
	}
	if c.currentHead.Version == 0 {
		c.enterStage(copying)
		return
	}
	c.enterStage(comparing)
}

// handleTried takes the manifest to promote.
func (c *Change) handleTried(rows []waxwingwall.Row) bool {
	if rows[0].Version == 0 || rows[1].Version == 0 {
		c.finish(Head{}, ErrNotTried)
		return false
	}
	m, err := ParseManifest(rows[0].Value)
	if err != nil {
		c.finish(Head{}, err)
		return false
	}
	c.triedRows = rows
	c.newManifest = m
	return true
}

func (c *Change) handleManifest(row waxwingwall.Row) {
	m, err := ParseManifest(row.Value)
	if err != nil {
		c.finish(Head{}, err)
		return
	}
	c.currentManifest = m
	c.enterStage(copying)
}

// newDigests returns the digests that the version in force doesn't have.
func (c *Change) newDigests() []string {
	held := make(map[string]bool)
	for _, digest := range c.currentManifest.Parts {
		held[digest] = true
	}
	var fresh []string
	for _, digest := range c.newManifest.Parts {
		if !held[digest] {
			held[digest] = true
			fresh = append(fresh, digest)
		}
	}
	return fresh
}

// readParts reads the parts to promote; those of a new text are here already.
func (c *Change) readParts() {
	fresh := c.newDigests()
	if c.request.From == "" || len(fresh) == 0 {
		c.enterStage(writing)
		return
	}
	keys := make([]string, 0, len(fresh))
	for _, digest := range fresh {
		keys = append(keys, PartKey(c.request.From, digest))
	}
	c.read(keys...)
}

// handleParts takes the parts to promote.
func (c *Change) handleParts(rows []waxwingwall.Row) {
	c.parts = make(map[string]string)
	for i, digest := range c.newDigests() {
		if Digest([]byte(rows[i].Value)) != digest {
			c.finish(Head{}, ErrNotTried)
			return
		}
		c.parts[digest] = rows[i].Value
	}
	c.enterStage(writing)
}

// newHead is the Head that the change is to make.
func (c *Change) newHead() Head {
	r := c.request
	return Head{
		Version: c.currentHead.Version + 1,
		Digest:  Digest([]byte(encodeJSON(c.newManifest))),
		Author:  r.Author,
		Time:    r.Time.UTC(),
		Change:  r.ID,
		Tried:   r.Tried,
		Comment: r.Comment,
	}
}

// write asks for the transaction.
func (c *Change) write() {
	env := c.request.Environment
	head := c.newHead()
	writes := []waxwingwall.Write{
		{
			Key:    CurrentKey(env),
			Expect: c.currentRow.Version,
			Value:  encodeJSON(head),
		},
		{
			Key:    HistoryKey(env, head.Version),
			Expect: 0,
			Value:  encodeJSON(head),
		},
		{
			Key:    DocKey(env, head.Version),
			Expect: 0,
			Value:  encodeJSON(c.newManifest),
		},
	}
	for _, row := range c.triedRows {
		writes = append(writes, waxwingwall.Write{
			Key:       row.Key,
			Expect:    row.Version,
			CheckOnly: true,
		})
	}
	parts := c.newPartWrites()
	if len(parts) > maxNewParts {
		c.finish(Head{}, ErrTooLarge)
		return
	}
	c.out = append(c.out, effect.Transact{
		ID:     c.nextID(),
		Writes: append(writes, parts...),
	})
}

// newPartWrites writes the parts that the version in force doesn't have. A part
// never changes, so writing one again does no harm.
func (c *Change) newPartWrites() []waxwingwall.Write {
	var writes []waxwingwall.Write
	for _, digest := range c.newDigests() {
		writes = append(writes, waxwingwall.Write{
			Key:    PartKey(c.request.Environment, digest),
			Expect: waxwingwall.AnyVersion,
			Value:  c.parts[digest],
		})
	}
	return writes
}

func (c *Change) handleTransacted(now time.Time, e effect.Transacted) {
	if e.Result == effect.Done {
		c.finish(c.newHead(), nil)
		return
	}
	c.stage = resolving
	if e.Result == effect.Lost {
		c.retry(now)
		return
	}
	c.runStage()
}

// handleWinner tells whose change made the new version.
func (c *Change) handleWinner(now time.Time, rows []waxwingwall.Row) {
	current, made := rows[0], rows[1]
	if made.Version > 0 {
		head, err := ParseHead(made.Value)
		if err != nil {
			c.finish(Head{}, err)
			return
		}
		if head.Change == c.request.ID {
			c.finish(head, nil)
			return
		}
		c.finishConflict(head)
		return
	}
	if current.Version != c.currentRow.Version {
		c.finishConflict(c.currentHead)
		return
	}
	// Nothing was written yet. The lost write may still arrive, but it expects
	// what the next one expects, so only one of them can be accepted.
	c.stage = writing
	c.retry(now)
}

func (c *Change) finishConflict(winner Head) {
	base := c.request.Base
	if base == Newest {
		base = c.currentHead.Version
	}
	c.finish(Head{}, &ConflictError{
		Base:   base,
		Winner: winner,
	})
}
