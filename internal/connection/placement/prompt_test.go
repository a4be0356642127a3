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

// stepItem is an item of a replayed step. The rule's estimate is its true number of events.
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

func (x *stepItem) class() promptcache.Class {
	if x.isLong() {
		return promptcache.Class{}
	}
	return promptcache.Class{Batch: x.model, Start: int64(x.total / 9)}
}

// step replays a step of some models: groups of 16 items, on 45 engines of 8 slots, 15 for each of three
// models. Two thirds of them take 49 ms for an event, the others 64 ms; eight requests at an engine take a
// sixth longer than one, and while an engine reads a prompt, all its requests wait.
type step struct {
	byPrompt         bool
	table            *Table
	cache            *promptcache.Cache
	events           map[string]time.Duration
	waiting, running []*stepItem
	prefer           map[string]string
	known            map[string]bool
	// again is the number of shared tokens read although an engine had read them before.
	again         int
	end, sumOfEnd time.Duration
}

func newStep(byPrompt bool, models, groups int, seed uint64) *step {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &step{byPrompt: byPrompt, table: NewTable(), cache: promptcache.New(), events: map[string]time.Duration{}, prefer: map[string]string{},
		known: map[string]bool{}}
	s.table.ByEventTime = true
	var all []roster.Instance
	var engines []promptcache.Engine
	for i := range 45 {
		x := roster.Instance{ID: fmt.Sprintf("e%02d", i), Service: "s", Addr: fmt.Sprint(i), Slots: 8, State: roster.Ready, Born: 1,
			Weights: map[string]uint64{fmt.Sprint(i % 3): 1}}
		all = append(all, x)
		engines = append(engines, promptcache.Engine{Incarnation: departure.Incarnation{ID: x.ID, Born: 1}, Capacity: 83885, Versions: x.Weights})
		s.events[x.ID] = []time.Duration{49, 49, 64}[i/3%3] * time.Millisecond
	}
	s.table.Update(all, nil, nil, 1)
	s.cache.Update(engines)
	for id, e := range s.events {
		s.table.RecordEventTime(Slot{ID: id, Born: 1}, e, start)
	}
	for model := range models {
		for g := range groups {
			p, _ := promptcache.Parse(fmt.Sprintf("%x:%d,1:16", 1+model*100+g, 400+rnd.IntN(1200)))
			for range 16 {
				events := 8 + 12*rnd.Float64()
				if rnd.IntN(12) == 0 {
					events = min(144, 5*events)
				}
				s.waiting = append(s.waiting, &stepItem{model: fmt.Sprint(model), group: fmt.Sprint(model, " ", g), total: events, left: events, prompt: p})
			}
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
				x.left -= float64(tick-blocked[x.slot.ID]) / (float64(s.events[x.slot.ID]) * (1 + 0.024*float64(load[x.slot.ID]-1)))
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
			items = s.order(req, items, now)
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

func (s *step) order(req Requirement, items []*stepItem, now time.Time) []*stepItem {
	free, _ := s.table.Free(req, promptcache.MaxFree, now)
	if len(free) == 0 || len(free) >= len(items) {
		return items
	}
	first := items[:min(len(items), promptcache.Lookahead+len(free))]
	var all []promptcache.Waiting
	for _, x := range first {
		all = append(all, promptcache.Waiting{Prompt: x.prompt, Class: x.class(), Passed: x.passed})
	}
	var out []*stepItem
	for _, k := range s.cache.Order(req.Model, free, all) {
		items[k].passed = all[k].Passed
		out = append(out, items[k])
	}
	return append(out, items[len(first):]...)
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
	s.prefer[x.group] = slot.ID
	x.slot, x.run = slot, s.cache.Begin(slot.Incarnation(), x.model, x.prompt, 16+int(x.total*75))
	read := x.prompt.Shared().Tokens() - x.run.Saved()
	if s.known[x.group] {
		s.again += read
	}
	s.known[x.group] = true
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
	}{{"16 groups of one model", 1, 16, 0.66}, {"9 groups of each model", 3, 9, 0.52}, {"5 groups of each model", 3, 5, 0.66}} {
		var again [2]int
		var end, mean [2]time.Duration
		const runs = 6
		for seed := range uint64(runs) {
			for i := range 2 {
				s := newStep(i == 1, c.models, c.groups, seed)
				items := len(s.waiting)
				s.play()
				again[i] += s.again / runs
				end[i] += s.end / runs
				mean[i] += s.sumOfEnd / time.Duration(items*runs)
			}
		}
		t.Logf("%s: %d tokens read again, end %v, mean %v; by prompt %d, %v, %v", c.name, again[0], end[0], mean[0], again[1], end[1], mean[1])
		if float64(again[1]) > c.most*float64(again[0]) {
			t.Errorf("%s: %d tokens read again, %d by preferSlack", c.name, again[1], again[0])
		}
		if end[1] > end[0]*1005/1000 || mean[1] > mean[0] {
			t.Errorf("%s: the step ends after %v and items after %v, %v and %v by preferSlack", c.name, end[1], mean[1], end[0], mean[0])
		}
	}
}

// TestChooseCached plays the choice of an engine for one item of a group whose prompt e5, one of the slow
// engines, has cached. It guards against a cached prompt that costs more than it saves.
func TestChooseCached(t *testing.T) {
	p, _ := promptcache.Parse("a:1000,b:16")
	sibling, _ := promptcache.Parse("a:1000,c:1000,d:16")
	for _, c := range []struct {
		name   string
		change func(*Table, *promptcache.Cache, *Requirement)
		want   string
	}{
		{"free engine", func(*Table, *promptcache.Cache, *Requirement) {}, "e5"},
		{"same load", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			for _, s := range t.servers {
				s.running = 3
			}
		}, "e5"},
		{"higher load", func(t *Table, _ *promptcache.Cache, _ *Requirement) { t.servers["e5"].running = 1 }, "e2"},
		{"up to the level of all that wait", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			t.servers["e5"].running = 5
			req.Level = t.Level(*req, 40, start)
		}, "e5"},
		{"above that level", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			t.servers["e5"].running = 5
			req.Level = t.Level(*req, 10, start)
		}, "e2"},
		{"full engine", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			t.servers["e5"].running, req.Level = 8, 100
		}, "e2"},
		{"slow engine", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			t.servers["e5"].events.mean, req.Level = 2*slowEvent, 100
		}, "e2"},
		{"slow engine, few events left", func(t *Table, _ *promptcache.Cache, req *Requirement) {
			t.servers["e5"].events.mean, req.Level, req.Events = 5*slowEvent/4, 100, 0.1
		}, "e5"},
		{"long item", func(_ *Table, _ *promptcache.Cache, req *Requirement) { req.Fast = true }, "e2"},
		{"lower priority than the preferred one", func(_ *Table, _ *promptcache.Cache, req *Requirement) { req.Prefer = "e4" }, "e5"},
		{"refused there before", func(_ *Table, _ *promptcache.Cache, req *Requirement) { req.Avoid = map[string]bool{"e5": true} }, "e2"},
		{"restarted", func(t *Table, c *promptcache.Cache, req *Requirement) {
			c.Update([]promptcache.Engine{{Incarnation: departure.Incarnation{ID: "e5", Born: 2}}})
			req.Saved = savedAt(c, "", p)
		}, "e2"},
		{"nothing known", func(_ *Table, _ *promptcache.Cache, req *Requirement) { req.Saved, req.Prefer = nil, "e4" }, "e4"},
		{"more of the prompt at another engine", func(t *Table, c *promptcache.Cache, req *Requirement) {
			c.Begin(departure.Incarnation{ID: "e6", Born: 1}, "", sibling, 0)
			req.Saved = savedAt(c, "", sibling)
		}, "e6"},
	} {
		table, cache := engines(), promptcache.New()
		var all []promptcache.Engine
		for id := range table.servers {
			all = append(all, promptcache.Engine{Incarnation: departure.Incarnation{ID: id, Born: 1}})
		}
		cache.Update(all)
		for id, s := range table.servers {
			s.events.add(slowEvent, start)
			if id < "e2" {
				s.running = 8 // the ones that are listed first are full
			}
		}
		cache.Begin(departure.Incarnation{ID: "e5", Born: 1}, "", p, 0)
		req := Requirement{Service: "s", Strict: true, Events: 14, Saved: savedAt(cache, "", p)}
		c.change(table, cache, &req)
		if slot, ok := table.Take(req, start); !ok || slot.ID != c.want {
			t.Errorf("%s: %q, want %s", c.name, slot.ID, c.want)
		}
	}
}

// BenchmarkTake measures the choice of an engine among 2,400 that hold 13 prompts each.
func BenchmarkTake(b *testing.B) {
	table, cache := NewTable(), promptcache.New()
	table.ByEventTime = true
	var all []roster.Instance
	var engines []promptcache.Engine
	for i := range 2400 {
		x := roster.Instance{ID: fmt.Sprintf("engine-%04d", i), Service: "s", Slots: 8, State: roster.Ready, Born: 1}
		all = append(all, x)
		engines = append(engines, promptcache.Engine{Incarnation: departure.Incarnation{ID: x.ID, Born: 1}, Capacity: 83885})
	}
	table.Update(all, nil, nil, 1)
	cache.Update(engines)
	for i, e := range engines {
		table.RecordEventTime(Slot{ID: e.ID, Born: 1}, time.Duration(49+i%15)*time.Millisecond, start)
		for j := range 13 {
			p, _ := promptcache.Parse(fmt.Sprintf("%x:1000,1:16", i*100+j))
			cache.Begin(e.Incarnation, "", p, 0).Started(1)
		}
	}
	p, _ := promptcache.Parse(fmt.Sprintf("%x:1000,1:16", 123405))
	for _, c := range []struct {
		name string
		req  Requirement
	}{
		{"prefer", Requirement{Service: "s", Strict: true, Prefer: "engine-1234"}},
		{"cached", Requirement{Service: "s", Strict: true, Events: 14, Level: 100, Saved: savedAt(cache, "", p)}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				slot, _ := table.Take(c.req, start)
				table.Done(slot, Abandoned, 0, start)
			}
		})
	}
	b.Run("level", func(b *testing.B) {
		for b.Loop() {
			table.Level(Requirement{Service: "s", Strict: true}, 5000, start)
		}
	})
	b.Run("free", func(b *testing.B) {
		for b.Loop() {
			table.Free(Requirement{Service: "s", Strict: true}, promptcache.MaxFree, start)
		}
	})
}
