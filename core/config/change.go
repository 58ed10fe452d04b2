package config

import (
	"errors"
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

const (
	// maxChangeAttempts limits the failed attempts of a change or, between two
	// completed transactions, of a prune.
	maxChangeAttempts = 8

	// changeRetryDelay is the delay before the next attempt.
	changeRetryDelay = 250 * time.Millisecond

	// maxNewParts is the maximum number of new parts in one change; the table
	// accepts 1000 writes in one transaction.
	maxNewParts = 990
)

// Newest is the Base of a change that follows any current version.
const Newest int64 = -1

// Errors of a change.
var (
	// ErrUnchanged means that the current version has the same text.
	ErrUnchanged = errors.New("the current version has the same text")

	// ErrNotTried means that the version to promote doesn't exist, or that one of
	// its parts is missing or doesn't match its digest.
	ErrNotTried = errors.New("no such version was tried")

	// ErrUnresolved means that the platform didn't respond. The change may have
	// been accepted or may still be; the history shows the outcome.
	ErrUnresolved = errors.New("the platform does not respond; the history shows whether the change was accepted")

	// ErrTooLarge means that the change has too many new parts for one
	// transaction.
	ErrTooLarge = errors.New("the change has too many new parts for one transaction")
)

// ConflictError means that another change was accepted first.
type ConflictError struct {
	// Base is the version that this change was based on.
	Base int64

	// Winner is the version that was accepted instead.
	Winner Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: version %d was followed by version %d of %s, accepted %s",
		e.Base, e.Winner.Version, e.Winner.Author, e.Winner.Time.UTC().Format(time.RFC3339))
}

// Request is an operator's request for a change.
type Request struct {
	// Environment is the environment to change.
	Environment string

	// Base is the version that the change is based on, or Newest.
	Base int64

	// From is the environment to promote from; empty for a new text.
	From string

	// Tried is the version to promote.
	Tried int64

	// Text is the new text, accepted by Parse; empty for a promotion.
	Text []byte

	// Author, Time and Comment are recorded in the history.
	Author  string
	Time    time.Time
	Comment string

	// ID is unique to the change, such as 128 random bits in hex. It identifies
	// the change in the history after a lost answer.
	ID string
}

// Change is a state machine that executes one Request. It is stepped until
// Done; Result returns the outcome. The write is one transaction that expects
// the current row to be as it was read, so at most one of several changes to the
// same base is accepted. After a lost answer, the history row of the new version
// identifies the change that made it.
type Change struct {
	request Request
	stage   stage

	// State read before the write.
	currentRow      waxwingwall.Row
	currentHead     Head
	currentManifest Manifest
	newManifest     Manifest
	parts           map[string]string
	triedRows       []waxwingwall.Row

	// Progress. pendingID is the ID of the action in flight; N is 0 if there is
	// none.
	pendingID effect.ID
	lastID    uint64
	attempts  int
	retryAt   time.Time
	accepted  Head
	err       error
	out       []effect.Action
}

// stage is the stage of a Change or a Prune.
type stage int

const (
	// reading reads the current version and the version to promote.
	reading stage = iota

	// comparing reads the manifest of the current version; a Prune lists all
	// manifests.
	comparing

	// copying reads the parts to promote.
	copying

	// writing executes the transaction.
	writing

	// resolving reads which change made the new version.
	resolving

	// done is the final stage.
	done
)

// NewChange returns a Change that executes a Request.
func NewChange(r Request) *Change {
	return &Change{
		request: r,
	}
}

// Done reports whether the Change has ended.
func (c *Change) Done() bool {
	return c.stage == done
}

// Result returns the accepted version, or the reason for the failure: a
// *ConflictError or one of the errors of this package.
func (c *Change) Result() (Head, error) {
	return c.accepted, c.err
}

// Step processes an event. The first one must be a Tick.
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

// runStage issues the action of the current stage.
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

// retry schedules another run of the stage, or fails after maxChangeAttempts.
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

// handleCurrent checks the base and prepares the new manifest and its parts.
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

// handleTried reads the manifest to promote and reports whether that succeeded.
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

// newDigests returns the digests that the current version doesn't have.
func (c *Change) newDigests() []string {
	seen := make(map[string]bool)
	for _, digest := range c.currentManifest.Parts {
		seen[digest] = true
	}
	var digests []string
	for _, digest := range c.newManifest.Parts {
		if !seen[digest] {
			seen[digest] = true
			digests = append(digests, digest)
		}
	}
	return digests
}

// readParts reads the parts to promote; a new text needs no read.
func (c *Change) readParts() {
	digests := c.newDigests()
	if c.request.From == "" || len(digests) == 0 {
		c.enterStage(writing)
		return
	}
	keys := make([]string, 0, len(digests))
	for _, digest := range digests {
		keys = append(keys, PartKey(c.request.From, digest))
	}
	c.read(keys...)
}

// handleParts verifies and stores the parts to promote.
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

// newHead returns the Head that the change writes.
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

// write issues the transaction.
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

// newPartWrites returns writes of the parts that the current version doesn't
// have. A part is named by its digest, so rewriting an existing one is harmless.
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

// handleWinner determines which change made the new version.
func (c *Change) handleWinner(now time.Time, rows []waxwingwall.Row) {
	current, history := rows[0], rows[1]
	if history.Version > 0 {
		head, err := ParseHead(history.Value)
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
	// Nothing has been written yet. The lost transaction may still be applied, but
	// it has the same precondition as the next one, so at most one is accepted.
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
