package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/promptcache"
)

// readPerMS is the number of prompt tokens that the engines of the replay read in a ms.
const readPerMS = 375

// savedAt returns the function that placement asks for the reading time saved.
func savedAt(c *promptcache.Cache, model string, p promptcache.Prompt) func(string, int64) time.Duration {
	holders := c.Holders(model, p)
	return func(id string, born int64) time.Duration {
		return time.Duration(holders[departure.Incarnation{ID: id, Born: born}]) * time.Millisecond / readPerMS
	}
}

// cachingEngines returns engines of 8 slots, n for each of some models, which take 49, 49 and 64 ms for an event.
func cachingEngines(models, n int) (*Table, *promptcache.Cache, []promptcache.Engine) {
	table, cache := NewTable(), promptcache.New()
	table.ByEventTime = true
	var all []roster.Instance
	var engines []promptcache.Engine
	for i := range models * n {
		x := roster.Instance{ID: fmt.Sprintf("engine-%04d", i), Service: "s", Slots: 8, State: roster.Ready, Born: 1,
			Weights: map[string]uint64{fmt.Sprint(i % models): 1}}
		all = append(all, x)
		engines = append(engines, promptcache.Engine{Incarnation: departure.Incarnation{ID: x.ID, Born: 1}, Capacity: 83885, Versions: x.Weights})
	}
	table.Update(all, nil, nil, 1)
	cache.Update(engines)
	for i, e := range engines {
		table.RecordEventTime(Slot{ID: e.ID, Born: 1}, []time.Duration{49, 49, 64}[i/models%3]*time.Millisecond, start)
	}
	return table, cache, engines
}

// stepItem is an item of a replayed step, whose number of events is known.
type stepItem struct {
	model, group string
	total, left  float64
	prompt       promptcache.Prompt
	slot         Slot
	run          *promptcache.Run
	reading      time.Duration
	passed       int
}

func (x *stepItem) isLong() bool { return x.total > 40 }

func (x *stepItem) class() string {
	if x.isLong() {
		return ""
	}
	return x.model
}

// step replays a step of some models: groups of 16 items, on 45 engines of 8 slots, 15 for each of three
// models. Eight requests at an engine take a sixth longer than one, and while an engine reads a prompt, all
// its requests wait.
type step struct {
	byPrompt         bool
	table            *Table
	cache            *promptcache.Cache
	waiting, running []*stepItem
	prefer           map[string]string
	known            map[string]bool
	// again is the number of shared tokens read although an engine had read them before.
	again         int
	end, sumOfEnd time.Duration
}

func newStep(byPrompt bool, models, groups int, seed uint64) *step {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &step{byPrompt: byPrompt, prefer: map[string]string{}, known: map[string]bool{}}
	s.table, s.cache, _ = cachingEngines(3, 15)
	for g := range models * groups {
		p, _ := promptcache.Parse(fmt.Sprintf("%x:%d,1:16", 100+g, 400+rnd.IntN(1200)))
		for range 16 {
			events := 8 + 12*rnd.Float64()
			if rnd.IntN(12) == 0 {
				events = min(144, 5*events)
			}
			s.waiting = append(s.waiting, &stepItem{model: fmt.Sprint(g / groups), group: fmt.Sprint(g), total: events, left: events, prompt: p})
		}
	}
	slices.SortStableFunc(s.waiting, func(a, b *stepItem) int { return int(b.total/9) - int(a.total/9) })
	return s
}

// play plays the step to its end.
func (s *step) play() {
	const tick = 2 * time.Millisecond
	for now := start; len(s.waiting)+len(s.running) > 0; now = now.Add(tick) {
		if now.Sub(start)%(2*tick) == 0 {
			s.dispatch(now)
		}
		load, blocked := map[string]int{}, map[string]time.Duration{}
		for _, x := range s.running {
			load[x.slot.ID]++
			if x.reading > 0 && blocked[x.slot.ID] == 0 {
				blocked[x.slot.ID] = min(tick, x.reading)
				x.reading -= blocked[x.slot.ID]
			}
		}
		s.running = slices.DeleteFunc(s.running, func(x *stepItem) bool {
			if x.reading <= 0 {
				event := float64(s.table.servers[x.slot.ID].events.mean)
				x.left -= float64(tick-blocked[x.slot.ID]) / (event * (1 + 0.024*float64(load[x.slot.ID]-1)))
			}
			if x.left > 0 {
				return false
			}
			s.table.Done(x.slot, Served, 0, now)
			x.run.Started(1)
			x.run.End(1)
			s.end = now.Sub(start)
			s.sumOfEnd += s.end
			return true
		})
	}
}

// dispatch starts waiting items as the driver of the store does.
func (s *step) dispatch(now time.Time) {
	byModel := map[string][]*stepItem{}
	for _, x := range s.waiting {
		byModel[x.model] = append(byModel[x.model], x)
	}
	s.waiting = nil
	for model, items := range byModel {
		req := Requirement{Service: "s", Model: model, MinVersion: 1, Strict: true}
		if s.byPrompt {
			s.order(req, items, now)
			req.Level = s.table.Level(req, len(items), now)
		}
		for i, x := range items {
			if !s.start(req, x, now) {
				s.waiting = append(s.waiting, items[i:]...)
				break
			}
		}
	}
}

func (s *step) order(req Requirement, items []*stepItem, now time.Time) {
	free, _ := s.table.Free(req, promptcache.MaxFree, now)
	if len(free) == 0 || len(free) >= len(items) {
		return
	}
	before := slices.Clone(items[:min(len(items), promptcache.Lookahead+len(free))])
	var all []promptcache.Waiting
	for _, x := range before {
		all = append(all, promptcache.Waiting{Prompt: x.prompt, Class: x.class(), Passed: x.passed})
	}
	for i, k := range s.cache.Order(req.Model, free, all) {
		items[i] = before[k]
		items[i].passed = all[k].Passed
	}
}

func (s *step) start(req Requirement, x *stepItem, now time.Time) bool {
	req.Fast, req.Events, req.Prefer = x.isLong(), x.total, s.prefer[x.group]
	if s.byPrompt {
		req.Saved = savedAt(s.cache, x.model, x.prompt)
	}
	slot, ok := s.table.Take(req, now)
	if !ok {
		return false
	}
	x.slot, x.run = slot, s.cache.Begin(slot.Incarnation(), x.model, x.prompt, 16+int(x.total*75))
	read := x.prompt.Shared().Tokens() - x.run.Saved()
	if s.known[x.group] {
		s.again += read
	}
	s.prefer[x.group], s.known[x.group] = slot.ID, true
	x.reading = time.Duration(read+16) * time.Millisecond / readPerMS
	s.running = append(s.running, x)
	return true
}

// TestStepReadsPromptsOnce replays steps with the rule of preferSlack and with the one of cached prompts. It
// guards against prompts that are read at more engines than needed, and against a step that ends later, or
// items that end later on average, to save that.
func TestStepReadsPromptsOnce(t *testing.T) {
	for _, c := range []struct {
		name           string
		models, groups int
		// most is the largest part of the tokens that may be read again.
		most float64
	}{{"16 groups of one model", 1, 16, 0.55}, {"9 groups of each model", 3, 9, 0.5}, {"5 groups of each model", 3, 5, 0.66}} {
		var again [2]int
		var end, mean [2]time.Duration
		const runs = 6
		for seed := range uint64(runs) {
			for i := range 2 {
				s := newStep(i == 1, c.models, c.groups, seed)
				s.play()
				again[i] += s.again / runs
				end[i] += s.end / runs
				mean[i] += s.sumOfEnd / time.Duration(16*c.models*c.groups*runs)
			}
		}
		t.Logf("%s: %d tokens read again, end %v, mean %v; by prompt %d, %v, %v", c.name, again[0], end[0], mean[0], again[1], end[1], mean[1])
		if float64(again[1]) > c.most*float64(again[0]) || end[1] > end[0]*1005/1000 || mean[1] > mean[0] {
			t.Errorf("%s: more is read again than %v of that by preferSlack, or it takes longer", c.name, c.most)
		}
	}
}

// TestChooseCached plays the choice of an engine for one item of a group whose prompt e5 has cached. It
// guards against a cached prompt that costs more than it saves.
func TestChooseCached(t *testing.T) {
	p, _ := promptcache.Parse("a:1000,b:16")
	sibling, _ := promptcache.Parse("a:1000,c:1000,d:16")
	type cache = promptcache.Cache
	for _, c := range []struct {
		name string
		// running is the number of requests at e5, and waiting that of the items for the level.
		running, waiting int
		change           func(*Table, *cache, *Requirement)
		want             string
	}{
		{"free engine", 0, 1, nil, "e5"},
		{"higher load", 1, 1, nil, "e2"},
		{"up to the level of all that wait", 5, 40, nil, "e5"},
		{"above that level", 5, 10, nil, "e2"},
		{"full engine", 8, 100, nil, "e2"},
		{"slow engine", 0, 100, func(t *Table, _ *cache, _ *Requirement) { t.servers["e5"].events.mean *= 2 }, "e2"},
		{"slow engine, few events left", 0, 100, func(t *Table, _ *cache, req *Requirement) {
			t.servers["e5"].events.mean, req.Events = 5*slowEvent/4, 0.1
		}, "e5"},
		{"long item", 0, 100, func(_ *Table, _ *cache, req *Requirement) { req.Fast = true }, "e2"},
		{"another engine is preferred", 0, 1, func(_ *Table, _ *cache, req *Requirement) { req.Prefer = "e4" }, "e5"},
		{"refused there before", 0, 1, func(_ *Table, _ *cache, req *Requirement) { req.Avoid = map[string]bool{"e5": true} }, "e2"},
		{"restarted", 0, 1, func(_ *Table, c *cache, req *Requirement) {
			c.Update([]promptcache.Engine{{Incarnation: departure.Incarnation{ID: "e5", Born: 2}}})
			req.Saved = savedAt(c, "", p)
		}, "e2"},
		{"nothing known", 0, 1, func(_ *Table, _ *cache, req *Requirement) { req.Saved, req.Prefer = nil, "e4" }, "e4"},
		{"more of the prompt at another engine", 0, 1, func(_ *Table, c *cache, req *Requirement) {
			c.Begin(departure.Incarnation{ID: "e6", Born: 1}, "", sibling, 0)
			req.Saved = savedAt(c, "", sibling)
		}, "e6"},
		{"another group of the subject", 0, 1, func(_ *Table, c *cache, req *Requirement) { req.Saved = savedAt(c, "", sibling) }, "e5"},
	} {
		table, cache := engines(), promptcache.New()
		var all []promptcache.Engine
		for id, s := range table.servers {
			all = append(all, promptcache.Engine{Incarnation: departure.Incarnation{ID: id, Born: 1}})
			s.events.add(slowEvent, start)
			if id < "e2" {
				s.running = 8 // the ones that are listed first are full
			}
		}
		cache.Update(all)
		cache.Begin(departure.Incarnation{ID: "e5", Born: 1}, "", p, 0)
		req := Requirement{Service: "s", Strict: true, Events: 14, Saved: savedAt(cache, "", p)}
		table.servers["e5"].running = c.running
		req.Level = table.Level(req, c.waiting, start)
		if c.change != nil {
			c.change(table, cache, &req)
		}
		if slot, ok := table.Take(req, start); !ok || slot.ID != c.want {
			t.Errorf("%s: %q, want %s", c.name, slot.ID, c.want)
		}
	}
}

// BenchmarkTake measures the choice of an engine among 2,400, of which one holds the prompt.
func BenchmarkTake(b *testing.B) {
	table, cache, engines := cachingEngines(1, 2400)
	p, _ := promptcache.Parse("a:1000,1:16")
	cache.Begin(engines[1234].Incarnation, "", p, 0)
	req := Requirement{Service: "s", Strict: true, Prefer: engines[1234].ID}
	for _, saved := range []func(string, int64) time.Duration{nil, savedAt(cache, "", p)} {
		req.Saved, req.Level = saved, 100
		b.Run(fmt.Sprint("cached=", saved != nil), func(b *testing.B) {
			for b.Loop() {
				slot, _ := table.Take(req, start)
				table.Done(slot, Abandoned, 0, start)
			}
		})
	}
	b.Run("level", func(b *testing.B) {
		for b.Loop() {
			table.Level(req, 5000, start)
		}
	})
}
