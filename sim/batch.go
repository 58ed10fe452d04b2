package sim

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// batch bounds the streams that run together; the others wait by priority.
// The engine's lock guards it.
type batch struct {
	size    int
	queue   int
	running int
	waiting []*entry // by priority, then by arrival
}

// entry is a stream's place in the batch or before it.
type entry struct {
	priority int
	admitted chan struct{} // closed when it runs
	running  bool
}

// add takes a place; false means that there is none left.
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

// remove gives a place up, from the batch or from the queue.
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

const cacheBlock = 64 // bytes of a prompt

// prefixCache remembers the prefixes of prompts, the oldest are forgotten.
type prefixCache struct {
	limit  int
	cached map[uint64]struct{}
	order  []uint64 // by age
}

// touch returns how many bytes of the prompt were cached, and caches the rest.
func (c *prefixCache) touch(prompt string) int {
	if c.cached == nil {
		c.cached = map[uint64]struct{}{}
	}
	var hit int
	for end := cacheBlock; end <= len(prompt); end += cacheBlock {
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
