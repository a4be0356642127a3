package store

import (
	"math"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
	"github.com/plantainbank/plantainbank/internal/request/itemrun"
	"github.com/plantainbank/plantainbank/internal/request/promptcache"
)

// defaultEvents is the expected number of events of an item without a length estimate.
const defaultEvents = 16

// Choices of an engine, by what it has cached of the prompt.
const (
	choiceCached  = "cached"
	choiceGivenUp = "given up"
	choiceNew     = "new"
)

// prompts places items at engines that have their prompts cached. A nil *prompts is switched off.
type prompts struct {
	// least is the least number of shared tokens, header the name of the header with the parts.
	least  int
	header string
	cache  *promptcache.Cache
	rate   promptcache.Rate
	// waiting counts the items that the current dispatch has not started, by what they require, and levels
	// holds the results of Table.Level for them. The driver's mutex guards both.
	waiting map[requirementKey]int
	levels  map[requirementKey]float64
}

// promptState is what a pending item knows of its prompt.
type promptState struct {
	// prompt holds the parts, nil if they are not known or too short to be placed by.
	prompt promptcache.Prompt
	// cached is the reading of the current run, nil if there is none. choice says why its engine was chosen.
	cached *promptcache.Run
	choice string
	// passed is how often items behind it have started before it.
	passed int
}

func newPrompts(least int, header string) *prompts {
	if least == 0 || header == "" {
		return nil
	}
	return &prompts{least: least, header: header, cache: promptcache.New(), waiting: map[requirementKey]int{}, levels: map[requirementKey]float64{}}
}

// reset forgets what engines hold: another leader may have run items since.
func (p *prompts) reset() {
	if p != nil {
		p.cache.Reset()
	}
}

// update applies the roster.
func (p *prompts) update(st *feed.State) {
	if p == nil {
		return
	}
	var all []promptcache.Engine
	for _, x := range st.Instances {
		if x.Slots == 0 {
			continue
		}
		e := promptcache.Engine{Incarnation: departure.Incarnation{ID: x.ID, Born: x.Born}, Versions: x.Weights}
		if st.Table != nil {
			if s := st.Table.Service(x.Service); s != nil {
				e.Capacity = s.KVCacheTokens
			}
		}
		all = append(all, e)
	}
	p.cache.Update(all)
}

// promptOf returns the parts of an item's prompt, none if the item is placed regardless of it.
func (d *driver) promptOf(item *batch.Item) promptState {
	if d.prompts == nil {
		return promptState{}
	}
	for name, value := range item.Headers {
		if !strings.EqualFold(name, d.prompts.header) {
			continue
		}
		p, err := promptcache.Parse(value)
		if err != nil {
			d.s.cfg.Scope.Counter("prompts_invalid").Inc(1)
			d.s.log.WithError(err).WithField("item", item.ID).Debug("prompt ignored")
			break
		}
		if p.Shared().Tokens() >= d.prompts.least {
			return promptState{prompt: p}
		}
	}
	return promptState{}
}

// requirePrompt lets engines that have the prompt of an item cached take precedence. The caller holds d.mu.
func (d *driver) requirePrompt(req *placement.Requirement, w *pendingItem, now time.Time) {
	p := d.prompts
	if p == nil || w.prompt == nil || req.Fast || w.next != nil {
		return
	}
	req.Prefer = ""
	holders := p.cache.Holders(req.Model, w.prompt)
	if len(holders) == 0 {
		return
	}
	rate := p.rate.PerMS()
	req.Saved = func(id string, born int64) time.Duration {
		return time.Duration(float64(holders[departure.Incarnation{ID: id, Born: born}]) / rate * float64(time.Millisecond))
	}
	req.Events = d.eventsExpected(w)
	key := requirementKey{service: req.Service, model: req.Model, minVersion: req.MinVersion}
	level, known := p.levels[key]
	if !known {
		level = d.table.Level(placement.Requirement{Service: req.Service, Model: req.Model, MinVersion: req.MinVersion, Strict: true}, p.waiting[key], now)
		p.levels[key] = level
	}
	req.Level = level
}

// eventsExpected returns the number of events that a waiting item is expected to produce yet. The caller
// holds d.mu.
func (d *driver) eventsExpected(w *pendingItem) float64 {
	if w.item.LengthHint == 0 {
		return defaultEvents
	}
	produced := float64(w.progress.Events)
	return max(float64(w.item.LengthHint)/d.stride(w.service)-produced, overrun*produced)
}

// beginPrompt records that the engine of a run reads the prompt of its item. The caller holds d.mu.
func (d *driver) beginPrompt(w *pendingItem, slot placement.Slot) {
	w.cached, w.choice, w.passed = nil, "", 0
	if d.prompts == nil {
		return
	}
	d.prompts.waiting[requirementKey{service: slot.Service, model: w.batch.Model, minVersion: w.batch.MinVersion}]--
	if w.prompt == nil {
		return
	}
	known := d.prompts.cache.Known(slot.Model, w.prompt)
	own := w.prompt[len(w.prompt)-1].Tokens + int((float64(w.progress.Events)+d.eventsExpected(w))*d.stride(w.service))
	w.cached = d.prompts.cache.Begin(slot.Incarnation(), slot.Model, w.prompt, own)
	saved, scope := w.cached.Saved(), d.s.cfg.Scope
	switch {
	case saved > 0:
		w.choice = choiceCached
	case known > 0:
		w.choice = choiceGivenUp
	default:
		w.choice = choiceNew
	}
	scope.Counter("prompt_tokens_read_again").Inc(int64(max(0, known-saved)))
	scope.Counter("prompt_tokens_saved").Inc(int64(saved))
	scope.Counter("prompt_tokens_read").Inc(int64(w.prompt.Shared().Tokens() - saved))
	scope.Tagged(map[string]string{"choice": w.choice}).Counter("prompt_choices").Inc(1)
}

// promptRead records the first event of a run, on the goroutine of the run.
func (w *pendingItem) promptRead() {
	if v := w.progress.Versions; w.cached != nil && len(v) > 0 {
		w.cached.Started(v[len(v)-1])
	}
}

// endPrompt records the end of a run, on its goroutine.
func (d *driver) endPrompt(w *pendingItem, p *paceTracker, res itemrun.Result) {
	if w.cached == nil {
		return
	}
	w.cached.End(res.Version)
	if res.Events > 1 && w.progress.Events == res.Events { // a later run reads the tokens of earlier events too
		d.prompts.rate.Add(w.prompt.Tokens()-w.cached.Saved(), res.FirstEvent-p.mean)
	}
}

// orderByPrompt counts the runnable items by what they require. Where there are few free slots for them, it
// moves items forward whose prompt is cached at an engine with a free slot, past items of the same batch that
// are not long: these have three times their run time left or more. The caller holds d.mu.
func (d *driver) orderByPrompt(items []*itemqueue.Item, now time.Time) {
	p := d.prompts
	if p == nil {
		return
	}
	p.waiting, p.levels = map[requirementKey]int{}, map[requirementKey]float64{}
	positions := map[requirementKey][]int{}
	for i, x := range items {
		w := d.pending[x.Key]
		if w == nil {
			continue
		}
		route := d.routeOf(w)
		if route == nil {
			continue
		}
		key := requirementKey{service: route.Choose(hashFraction(w.item.ID)), model: w.batch.Model, minVersion: w.batch.MinVersion}
		p.waiting[key]++
		positions[key] = append(positions[key], i)
	}
	for key, at := range positions {
		d.orderKey(key, items, at, now)
	}
}

// orderKey orders the items at some positions, which require the same.
func (d *driver) orderKey(key requirementKey, items []*itemqueue.Item, at []int, now time.Time) {
	free, few := d.table.Free(placement.Requirement{Service: key.service, Model: key.model, MinVersion: key.minVersion, Strict: true},
		promptcache.MaxFree, now)
	if !few || len(free) > len(at) {
		return
	}
	d.prompts.levels[key] = math.Inf(1) // all engines will be full
	if len(free) == 0 || len(free) == len(at) {
		return
	}
	at = at[:min(len(at), promptcache.Lookahead+len(free))]
	waiting := make([]promptcache.Waiting, len(at))
	before := make([]*itemqueue.Item, len(at))
	for i, pos := range at {
		x := items[pos]
		w := d.pending[x.Key]
		before[i] = x
		waiting[i] = promptcache.Waiting{Prompt: w.prompt, Passed: w.passed}
		if !x.HasProgress && w.prompt != nil && w.next == nil && len(w.avoid) == 0 && !d.isLong(w, now) {
			waiting[i].Class = x.Batch
		}
	}
	for i, k := range d.prompts.cache.Order(key.model, free, waiting) {
		items[at[i]] = before[k]
	}
	for i, x := range before {
		d.pending[x.Key].passed = waiting[i].Passed
	}
}
