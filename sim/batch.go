package sim

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// batch limits the number of concurrent streams; further streams wait in a
// priority queue. It is guarded by the engine's lock.
type batch struct {
	size    int // maximum number of running streams
	queue   int // maximum number of waiting streams
	running int
	waiting []*entry // ordered by priority, then by arrival
}

// entry is one stream in the batch or in the queue.
type entry struct {
	priority int
	admitted chan struct{} // closed when the stream may run
	running  bool
}

// add adds a stream; it returns false if both the batch and the queue are full.
func (b *batch) add(priority int) (*entry, bool) {
	e := &entry{
		priority: priority,
		admitted: make(chan struct{}),
	}
	if b.running >= b.size && len(b.waiting) >= b.queue {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(b.waiting, priority+1, func(w *entry, t int) int { return w.priority - t })
	b.waiting = slices.Insert(b.waiting, i, e)
	b.admit()
	return e, true
}

// remove removes a stream from the batch or from the queue.
func (b *batch) remove(e *entry) {
	if e.running {
		b.running--
	} else {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *entry) bool { return w == e })
	}
	b.admit()
}

func (b *batch) admit() {
	for b.running < b.size && len(b.waiting) > 0 {
		e := b.waiting[0]
		b.waiting = b.waiting[1:]
		e.running = true
		b.running++
		close(e.admitted)
	}
}

// cacheBlockBytes is the length of a prompt block in the prefix cache.
const cacheBlockBytes = 64

// prefixCache holds hashes of prompt prefixes, one for each block, and evicts the
// oldest.
type prefixCache struct {
	limit  int // maximum number of hashes
	cached map[uint64]struct{}
	order  []uint64 // by age, oldest first
}

// touch returns the number of bytes of the prompt that were cached, and caches the
// rest.
func (c *prefixCache) touch(prompt string) int {
	if c.cached == nil {
		c.cached = map[uint64]struct{}{}
	}
	var hit int
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		h := xxhash.Sum64String(prompt[:end])
		if _, ok := c.cached[h]; ok {
			hit = end
			continue
		}
		c.cached[h] = struct{}{}
		c.order = append(c.order, h)
		if len(c.order) > c.limit {
			delete(c.cached, c.order[0])
			c.order = c.order[1:]
		}
	}
	return hit
}
