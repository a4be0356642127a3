package promptcache

import (
	"container/list"
	"sync"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
)

const (
	// maxTotal bounds the parts of all engines together, and maxPerEngine and minPerEngine those of one. An
	// engine's memory holds about 80 prompts; with 2,400 engines each may have 13 parts.
	maxTotal, maxPerEngine, minPerEngine = 32768, 128, 8
)

// partKey identifies a part at any engine.
type partKey struct {
	model string
	id    uint64
}

// held is a part that an engine holds or reads.
type held struct {
	partKey
	tokens int
	engine *engine
	// users is the number of running requests that use the part, which is not evicted meanwhile.
	users int
	// read is false until a request that uses the part has produced its first event.
	read bool
	// element is the position in the engine's list, nil after the part was removed.
	element *list.Element
}

// engine is the memory of one incarnation of an engine.
type engine struct {
	id departure.Incarnation
	// capacity is the memory in tokens, zero if it is not known.
	capacity int
	// parts holds the parts, the most recently used first; cached is the sum of their tokens.
	parts  list.List
	cached int
	// running is the number of tokens of the running requests without their shared parts.
	running int
	// versions holds the weight versions by model.
	versions map[string]uint64
}

// Engine describes an engine of the roster.
type Engine struct {
	departure.Incarnation
	// Capacity is the memory in tokens, zero if it is not known.
	Capacity int
	// Versions holds the loaded weight versions by model.
	Versions map[string]uint64
}

// Cache is the model of all engines. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	engines map[departure.Incarnation]*engine
	// holders finds the engines that hold a part.
	holders map[partKey]map[departure.Incarnation]*held
	total   int
}

// New returns the model of engines that hold nothing.
func New() *Cache {
	return &Cache{engines: map[departure.Incarnation]*engine{}, holders: map[partKey]map[departure.Incarnation]*held{}}
}

// Update replaces the set of engines. Engines that are gone or have restarted lose what they held, and
// those with a newer weight version what they held for the model.
func (c *Cache) Update(all []Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[departure.Incarnation]bool, len(all))
	for _, x := range all {
		seen[x.Incarnation] = true
		e := c.engines[x.Incarnation]
		if e == nil {
			e = &engine{id: x.Incarnation, versions: map[string]uint64{}}
			c.engines[x.Incarnation] = e
		}
		e.capacity = x.Capacity
		for model, v := range x.Versions {
			c.setVersion(e, model, v)
		}
	}
	for id, e := range c.engines {
		if !seen[id] {
			c.discard(e, func(*held) bool { return true })
			delete(c.engines, id)
		}
	}
}

// setVersion discards the parts of a model if an engine has loaded a newer version. Reports may arrive
// out of order, so an older version changes nothing.
func (c *Cache) setVersion(e *engine, model string, version uint64) {
	if version <= e.versions[model] {
		return
	}
	if e.versions[model] != 0 {
		c.discard(e, func(h *held) bool { return h.model == model })
	}
	e.versions[model] = version
}

// discard removes the parts of an engine that match.
func (c *Cache) discard(e *engine, match func(*held) bool) {
	for el := e.parts.Front(); el != nil; {
		next := el.Next()
		if h := el.Value.(*held); match(h) {
			c.remove(h)
		}
		el = next
	}
}

func (c *Cache) remove(h *held) {
	h.engine.parts.Remove(h.element)
	h.element = nil
	h.engine.cached -= h.tokens
	c.total--
	at := c.holders[h.partKey]
	delete(at, h.engine.id)
	if len(at) == 0 {
		delete(c.holders, h.partKey)
	}
}

// Reset discards all parts. Requests that are running still count.
func (c *Cache) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		c.discard(e, func(*held) bool { return true })
	}
}

// Cached returns the number of tokens of the shared parts of a prompt that an engine need not read.
func (c *Cache) Cached(id departure.Incarnation, model string, p Prompt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range p.Shared() {
		if c.holders[partKey{model, x.ID}][id] == nil {
			break
		}
		n += x.Tokens
	}
	return n
}

// Holders returns the engines that need not read some of the shared parts of a prompt, with the number of
// tokens of these parts.
func (c *Cache) Holders(model string, p Prompt) map[departure.Incarnation]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[departure.Incarnation]int{}
	before := 0
	for i, x := range p.Shared() {
		for id := range c.holders[partKey{model, x.ID}] {
			if i == 0 || out[id] == before {
				out[id] = before + x.Tokens
			}
		}
		before += x.Tokens
	}
	return out
}

// Known returns the number of tokens of the shared parts of a prompt, up to the first one that no engine
// holds.
func (c *Cache) Known(model string, p Prompt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range p.Shared() {
		if len(c.holders[partKey{model, x.ID}]) == 0 {
			break
		}
		n += x.Tokens
	}
	return n
}

// Size returns the number of engines, of parts at them, and of the tokens of these parts.
func (c *Cache) Size() (engines, parts, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		tokens += e.cached
	}
	return len(c.engines), c.total, tokens
}

// Run is a request that was sent to an engine. A nil Run does nothing.
type Run struct {
	c      *Cache
	engine *engine
	model  string
	prompt Prompt
	parts  []*held
	// tokens is the memory that the request takes besides its shared parts.
	tokens  int
	started bool
	ended   bool
	// cached is the number of tokens that the engine is expected not to read.
	cached int
}

// Saved returns the number of tokens that the engine is expected not to read.
func (r *Run) Saved() int {
	if r == nil {
		return 0
	}
	return r.cached
}

// Begin records that a request is sent to an engine. tokens is the memory that it will take besides the
// shared parts of its prompt. It returns nil if the engine is not known.
func (c *Cache) Begin(id departure.Incarnation, model string, p Prompt, tokens int) *Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[id]
	if e == nil {
		return nil
	}
	r := &Run{c: c, engine: e, model: model, prompt: p.Shared(), tokens: tokens}
	e.running += tokens
	cached := true
	for _, x := range r.prompt {
		if cached = cached && c.holders[partKey{model, x.ID}][id] != nil; cached {
			r.cached += x.Tokens
		}
	}
	c.use(r)
	return r
}

// use makes the parts of a run the most recently used ones of its engine, in such an order that later
// parts are evicted before those that they depend on.
func (c *Cache) use(r *Run) {
	e := r.engine
	for i := len(r.prompt) - 1; i >= 0; i-- {
		key := partKey{r.model, r.prompt[i].ID}
		h := c.holders[key][e.id]
		if h == nil {
			h = &held{partKey: key, tokens: r.prompt[i].Tokens, engine: e}
			h.element = e.parts.PushFront(h)
			e.cached += h.tokens
			c.total++
			if c.holders[key] == nil {
				c.holders[key] = map[departure.Incarnation]*held{}
			}
			c.holders[key][e.id] = h
		}
		e.parts.MoveToFront(h.element)
		h.users++
		r.parts = append(r.parts, h)
	}
	c.evict(e)
}

// evict removes the least recently used parts that do not fit into the memory of an engine.
func (c *Cache) evict(e *engine) {
	limit := min(maxPerEngine, max(minPerEngine, maxTotal/max(1, len(c.engines))))
	for el := e.parts.Back(); el != nil && (e.parts.Len() > limit || e.capacity > 0 && e.cached+e.running > e.capacity); {
		previous := el.Prev()
		if h := el.Value.(*held); h.users == 0 {
			c.remove(h)
		}
		el = previous
	}
}

// release ends the use of a run's parts. Parts that no request has read are removed with their last user.
func (c *Cache) release(r *Run) {
	for _, h := range r.parts {
		if h.users--; h.users == 0 && !h.read && h.element != nil {
			c.remove(h)
		}
	}
	r.parts = nil
}

// Started records the first event of a request, which a weight version has generated: the engine has read
// the whole prompt, whatever was believed before.
func (r *Run) Started(version uint64) {
	if r == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if r.ended || r.started || r.c.engines[r.engine.id] != r.engine {
		return
	}
	r.started = true
	if version < r.engine.versions[r.model] {
		return // the engine has loaded newer weights since
	}
	r.c.setVersion(r.engine, r.model, version)
	r.c.release(r)
	r.c.use(r)
	for _, h := range r.parts {
		h.read = true
	}
}

// End records that a request has ended, and the latest weight version of its engine, zero if it is not known.
func (r *Run) End(version uint64) {
	if r == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.engine.running -= r.tokens
	r.c.release(r)
	if r.c.engines[r.engine.id] == r.engine {
		r.c.setVersion(r.engine, r.model, version)
		r.c.evict(r.engine)
	}
}
