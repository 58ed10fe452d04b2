package config

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// startFetch starts to collect the highest version known, if that is due.
func (w *Watcher) startFetch(now time.Time) {
	if w.known.Version <= max(w.head.Version, w.refused) {
		return
	}
	if w.fetch != nil && w.fetch.head.Version >= w.known.Version {
		return
	}
	booting := w.head.Version == 0 && !w.tableReached
	if booting && now.Before(w.knownAt.Add(bootWait)) {
		return
	}
	w.fetch = &fetch{
		head:        w.known,
		parts:       make(map[string]string),
		packedParts: make(map[string]packed),
	}
	w.requestMissing(now)
}

// requestMissing asks the next source for what is missing. What came from others is kept.
func (w *Watcher) requestMissing(now time.Time) {
	f := w.fetch
	f.id = effect.ID{}
	f.retryAt = now.Add(peerTimeout)
	var missing []string
	if f.manifest != "" {
		missing = w.missingParts()
	}
	from, ok := w.nextSource()
	if !ok {
		return
	}
	if !from.IsZero() {
		w.send(from, Want{
			Environment: w.Environment,
			Version:     f.head.Version,
			Parts:       missing,
		})
		return
	}
	f.retryAt = now.Add(tableTimeout)
	f.id = w.nextID()
	if f.manifest == "" {
		w.read(f.id, DocKey(w.Environment, f.head.Version))
		return
	}
	keys := make([]string, 0, len(missing))
	for _, digest := range missing {
		keys = append(keys, PartKey(w.Environment, digest))
	}
	w.read(f.id, keys...)
}

// nextSource takes turns among those who have the version known: its holders, and
// the table, which is the zero incarnation.
func (w *Watcher) nextSource() (waxwingwall.Incarnation, bool) {
	sources := len(w.holders)
	if w.knownInTable {
		sources++
	}
	if sources == 0 {
		return waxwingwall.Incarnation{}, false
	}
	n := w.attempts % sources
	w.attempts++
	if n == len(w.holders) {
		return waxwingwall.Incarnation{}, true
	}
	return w.holders[n], true
}

// delayRetry waits before the next source is asked.
func (w *Watcher) delayRetry(now time.Time) {
	w.fetch.id = effect.ID{}
	w.fetch.retryAt = now.Add(w.jitter(fetchRetryDelay))
}

// hasPart reports whether a part is in force here, or was read for a version to
// come.
func (w *Watcher) hasPart(digest string) bool {
	_, held := w.parts[digest]
	_, kept := w.fetch.packedParts[digest]
	return held || kept
}

// missingParts returns the digests of the parts that are neither held nor fetched.
func (w *Watcher) missingParts() []string {
	var missing []string
	for _, digest := range w.fetch.digests {
		held := w.hasPart(digest)
		_, fetched := w.fetch.parts[digest]
		if !held && !fetched && !slices.Contains(missing, digest) {
			missing = append(missing, digest)
		}
	}
	return missing
}

// addFetched takes a manifest, if one is wanted, and texts of parts, and goes on. A
// text is known by its digest, so a wrong one does no harm.
func (w *Watcher) addFetched(now time.Time, manifest string, texts []string) {
	f := w.fetch
	took := false
	if f.manifest == "" && Digest([]byte(manifest)) == f.head.Digest {
		m, err := ParseManifest(manifest)
		if err != nil {
			w.refuse(err)
			return
		}
		f.manifest = manifest
		f.digests = m.Parts
		took = true
	}
	missing := w.missingParts()
	for _, text := range texts {
		digest := Digest([]byte(text))
		if slices.Contains(missing, digest) {
			f.parts[digest] = text
			took = true
		}
	}
	if took {
		w.advanceFetch(now)
	} else if !now.Before(f.retryAt) {
		w.delayRetry(now)
	}
}

// advanceFetch asks for the rest, or reads what has come and puts the version in
// force. A large document is read over several steps, so that the control loop
// isn't held up.
func (w *Watcher) advanceFetch(now time.Time) {
	f := w.fetch
	if !f.complete && len(w.missingParts()) > 0 {
		w.requestMissing(now)
		return
	}
	f.complete = true
	size := 0
	for f.nextDigest < len(f.digests) && size < parseStepBytes {
		digest := f.digests[f.nextDigest]
		f.nextDigest++
		if w.hasPart(digest) {
			continue
		}
		text := f.parts[digest]
		size += len(text)
		one, err := parsePart(text)
		if err != nil {
			w.refuse(err)
			return
		}
		f.parsed = append(f.parsed, one)
		f.packedParts[digest] = pack(text)
		delete(f.parts, digest)
	}
	if f.nextDigest < len(f.digests) {
		return
	}
	w.assemble()
}

// assemble makes the document of the one in force and the parts that changed.
func (w *Watcher) assemble() {
	f := w.fetch
	parts := make(map[string]packed)
	size := 0
	for _, digest := range f.digests {
		part, ok := w.parts[digest]
		if !ok {
			part = f.packedParts[digest]
		}
		parts[digest] = part
		size += part.size
	}
	var gone []Document
	for _, digest := range w.digests {
		if _, kept := parts[digest]; kept {
			continue
		}
		one, err := parsePart(w.parts[digest].text())
		if err != nil {
			w.refuse(err)
			return
		}
		gone = append(gone, one)
	}
	doc, err := merge(w.document, gone, f.parsed)
	if err != nil {
		w.refuse(err)
		return
	}
	w.parts = parts
	w.size = size
	w.activate(doc)
}

// refuse gives up a version that this router can't read, as when it was
// written for a newer one.
func (w *Watcher) refuse(err error) {
	w.refused = w.fetch.head.Version
	w.lastError = err.Error()
	w.fetch = nil
}

// activate puts the collected version in force.
func (w *Watcher) activate(doc Document) {
	f := w.fetch
	w.fetch = nil
	if f.head.Version <= w.head.Version {
		return
	}
	doc.Version = f.head.Version
	w.head = f.head
	w.document = doc
	w.manifest = f.manifest
	w.digests = f.digests
	w.out = append(w.out, Changed{
		Document: doc,
		Head:     f.head,
	})
	w.announce(fanout, false)
}

// handleWant answers a peer that collects the version in force here.
func (w *Watcher) handleWant(from waxwingwall.Incarnation, m Want) {
	if m.Version != w.head.Version || w.head.Version == 0 {
		return
	}
	have := Have{
		Environment: w.Environment,
		Version:     m.Version,
	}
	if len(m.Parts) == 0 {
		have.Manifest = w.manifest
	}
	digests := m.Parts
	if len(digests) == 0 && w.size <= maxInlineBytes {
		digests = w.digests
	}
	size := 0
	for _, digest := range digests {
		part, ok := w.parts[digest]
		if ok && (size == 0 || size+part.size <= maxMessageBytes) {
			have.Parts = append(have.Parts, part.text())
			size += part.size
		}
	}
	w.send(from, have)
}

// handleHave takes a peer's answer, whoever it was that answered.
func (w *Watcher) handleHave(now time.Time, m Have) {
	if w.fetch != nil && w.fetch.head.Version == m.Version {
		w.addFetched(now, m.Manifest, m.Parts)
	}
}
