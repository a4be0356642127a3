package promptcache

import (
	"slices"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
)

const (
	// Lookahead is the number of waiting items among which one whose prompt is cached at a free engine is
	// looked for: four groups.
	Lookahead = 64
	// maxPassed bounds how often an item is passed. Slots become free each 10 ms, so an item starts at most
	// about 0.3 s later than without the rule, and others the earlier.
	maxPassed = 32
	// MaxFree is the number of free slots up to which items change places. With more, most items find an
	// engine that has their prompt in any order.
	MaxFree = 8
)

// Waiting is an item that waits for a slot.
type Waiting struct {
	Prompt Prompt
	// Class names the items that it may change places with. An item with an empty class is not passed.
	Class string
	// Passed is how often items behind it have started before it.
	Passed int
}

// Order returns the positions of the first items that should start at the free slots of engines: those
// whose prompt is cached there first, among those of one class. All other items keep their order. It
// increases Passed of the items that are passed.
//
// Load pattern: a step has more items than there are slots. After its first items, slots become free one at
// a time, so an item has no choice of its engine, but the engine has one among the items that wait.
func (c *Cache) Order(model string, free []departure.Incarnation, items []Waiting) []int {
	rest := make([]int, min(len(items), Lookahead+len(free)))
	for i := range rest {
		rest[i] = i
	}
	free = slices.Clone(free)
	var out []int
	for len(free) > 0 && len(rest) > 0 {
		pick, at := c.pick(model, free, items, rest)
		for _, i := range rest[:pick] {
			items[i].Passed++
		}
		out = append(out, rest[pick])
		rest = slices.Delete(rest, pick, pick+1)
		free = slices.Delete(free, at, at+1)
	}
	return append(out, rest...)
}

// pick returns the position in rest of the next item to start, and the position of its engine in free.
func (c *Cache) pick(model string, free []departure.Incarnation, items []Waiting, rest []int) (pick, at int) {
	head := &items[rest[0]]
	for k, i := range rest[:min(len(rest), Lookahead)] {
		x := &items[i]
		if k > 0 && (head.Class == "" || x.Class != head.Class) {
			break
		}
		for f, id := range free {
			if c.Cached(id, model, x.Prompt) > 0 {
				return k, f
			}
		}
		if x.Passed >= maxPassed {
			break
		}
	}
	return 0, 0
}
