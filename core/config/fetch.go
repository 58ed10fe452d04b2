package config

import (
	"slices"
	"time"

	"waxwingwall"
	"waxwingwall/core/effect"
)

// startFetch starts to fetch the highest known version, if it is newer than the
// active one, not rejected and not being fetched. A fetch of an older one is abandoned, or,
// after maxAbandoned of these, once its source has not answered in time. A booting router first waits
// up to bootTimeout for an answer of the table.
func (w *Watcher) startFetch(now time.Time) {
	if w.known.Version <= max(w.head.Version, w.rejected) {
		return
	}
	if w.fetch != nil && w.fetch.head.Version >= w.known.Version {
		return
	}
	if w.fetch != nil && w.abandoned >= maxAbandoned && (w.fetch.complete || now.Before(w.fetch.retryAt)) {
		return
	}
	booting := w.head.Version == 0 && !w.tableReached
	if booting && now.Before(w.firstKnownAt.Add(bootTimeout)) {
		return
	}
	if w.fetch != nil {
		w.abandoned++
	}
	w.fetch = &fetch{
		head:        w.known,
		parts:       make(map[string]string),
		packedParts: make(map[string]packed),
	}
	w.requestMissing(now)
}

// requestMissing requests the manifest or the missing parts from the next source.
// Parts fetched from other sources are kept.
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

// nextSource rotates among the sources of the known version: the peers that hold
// it and the table, returned as the zero incarnation.
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

// delayRetry schedules the request to the next source.
func (w *Watcher) delayRetry(now time.Time) {
	w.fetch.id = effect.ID{}
	w.fetch.retryAt = now.Add(w.jitter(fetchRetryDelay))
}

// hasPart reports whether a part belongs to the active version or has been
// parsed for the version being fetched.
func (w *Watcher) hasPart(digest string) bool {
	_, active := w.parts[digest]
	_, parsed := w.fetch.packedParts[digest]
	return active || parsed
}

// missingParts returns the digests of the parts that still have to be fetched.
func (w *Watcher) missingParts() []string {
	var missing []string
	for _, digest := range w.fetch.digests {
		present := w.hasPart(digest)
		_, fetched := w.fetch.parts[digest]
		if !present && !fetched && !slices.Contains(missing, digest) {
			missing = append(missing, digest)
		}
	}
	return missing
}

// addFetched stores a manifest, if it is missing, and texts of parts, and
// continues the fetch. Digests identify the texts, so wrong ones are ignored.
func (w *Watcher) addFetched(now time.Time, manifest string, texts []string) {
	f := w.fetch
	progress := false
	if f.manifest == "" && Digest([]byte(manifest)) == f.head.Digest {
		m, err := ParseManifest(manifest)
		if err != nil {
			w.reject(err)
			return
		}
		f.manifest = manifest
		f.digests = m.Parts
		progress = true
	}
	missing := w.missingParts()
	for _, text := range texts {
		digest := Digest([]byte(text))
		if slices.Contains(missing, digest) {
			f.parts[digest] = text
			progress = true
		}
	}
	if progress {
		w.advanceFetch(now)
	} else if !now.Before(f.retryAt) {
		w.delayRetry(now)
	}
}

// advanceFetch requests missing parts, or parses the fetched ones and activates
// the version. A large document is parsed over several steps, so that it doesn't
// block the control loop.
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
		partDoc, err := parsePart(text)
		if err != nil {
			w.reject(err)
			return
		}
		f.parsed = append(f.parsed, partDoc)
		f.packedParts[digest] = pack(text)
		delete(f.parts, digest)
	}
	if f.nextDigest < len(f.digests) {
		return
	}
	w.assemble()
}

// assemble merges the active document with the changed parts and activates the
// result.
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
	var removed []Document
	for _, digest := range w.digests {
		if _, kept := parts[digest]; kept {
			continue
		}
		partDoc, err := parsePart(w.parts[digest].text())
		if err != nil {
			w.reject(err)
			return
		}
		removed = append(removed, partDoc)
	}
	doc, err := merge(w.document, removed, f.parsed)
	if err != nil {
		w.reject(err)
		return
	}
	w.parts = parts
	w.size = size
	w.activate(doc)
}

// reject abandons a version that this router can't parse, for example one
// written for a newer release.
func (w *Watcher) reject(err error) {
	w.rejected = w.fetch.head.Version
	w.lastError = err.Error()
	w.fetch = nil
}

// activate makes the fetched version the active one, unless a version at least
// as high is active, and sends an Announce to some peers.
func (w *Watcher) activate(doc Document) {
	f := w.fetch
	w.fetch = nil
	if f.head.Version <= w.head.Version {
		return
	}
	w.abandoned = 0
	doc.Version = f.head.Version
	w.head = f.head
	w.document = doc
	w.manifest = f.manifest
	w.digests = f.digests
	w.out = append(w.out, Changed{
		Document: doc,
		Head:     f.head,
	})
	w.announce(announceFanout, false)
}

// handleWant answers a peer that fetches the version active here.
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

// handleHave processes an answer to Want from any peer.
func (w *Watcher) handleHave(now time.Time, m Have) {
	if w.fetch != nil && w.fetch.head.Version == m.Version {
		w.addFetched(now, m.Manifest, m.Parts)
	}
}
