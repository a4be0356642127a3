package promptcache

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
)

var e0, e1 = departure.Incarnation{ID: "e0", Born: 1}, departure.Incarnation{ID: "e1", Born: 1}

func parse(t testing.TB, value string) Prompt {
	p, err := Parse(value)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// engines returns two engines with memory for 3,000 tokens and version 1 of two models.
func engines() []Engine {
	versions := map[string]uint64{"m": 1, "n": 1}
	return []Engine{{e0, 3000, versions}, {e1, 3000, versions}}
}

// read runs a request to its end.
func read(c *Cache, id departure.Incarnation, model string, p Prompt) {
	r := c.Begin(id, model, p, 16)
	r.Started(1)
	r.End(1)
}

// TestParse guards against parts that are read differently from how callers write them, and against a
// header of a caller that takes memory without bound.
func TestParse(t *testing.T) {
	p := parse(t, "0a:600, 0B:400,c:16")
	if len(p) != 3 || p.Tokens() != 1016 || p.Shared().Tokens() != 1000 {
		t.Errorf("parts are %v", p)
	}
	if q := parse(t, "0A:600,0b:400,d:16"); !slices.Equal(p.Shared(), q.Shared()) {
		t.Error("the case of hexadecimal digits matters")
	}
	long := "1:1"
	for range maxParts {
		long += ",1:1"
	}
	for _, value := range []string{"", "a", "a:", ":5", "a:0", "a:-1", "a:x", "a:5,,b:5", "a:99999999999", long} {
		if p, err := Parse(value); err == nil {
			t.Errorf("%q is read as %v", value, p)
		}
	}
}

// TestWhatEnginesHold plays the changes of what an engine holds one by one. It guards against items that
// follow a prompt to an engine that has lost it, and against ones that ignore an engine that has it.
func TestWhatEnginesHold(t *testing.T) {
	group, sibling := "a:600,b:400,c:16", "a:600,d:400,e:16"
	newer := func(c *Cache) {
		all := engines()
		all[0].Versions = map[string]uint64{"m": 2, "n": 1}
		c.Update(all)
	}
	// changed runs a request at an engine that changes before its first event.
	changed := func(c *Cache, p Prompt, change func(*Cache), first, last uint64) {
		r := c.Begin(e0, "m", p, 16)
		change(c)
		r.Started(first)
		r.End(last)
	}
	for _, x := range []struct {
		name   string
		play   func(*Cache, Prompt)
		cached int
	}{
		{"nothing", func(*Cache, Prompt) {}, 0},
		{"read", func(c *Cache, p Prompt) { read(c, e0, "m", p) }, 1000},
		{"read at another engine", func(c *Cache, p Prompt) { read(c, e1, "m", p) }, 0},
		{"read for another model", func(c *Cache, p Prompt) { read(c, e0, "n", p) }, 0},
		{"a group of the same subject", func(c *Cache, _ Prompt) { read(c, e0, "m", parse(t, sibling)) }, 600},
		{"a later part without the first", func(c *Cache, _ Prompt) { read(c, e0, "m", parse(t, "b:400,c:16")) }, 0},
		{"being read", func(c *Cache, p Prompt) { c.Begin(e0, "m", p, 16) }, 1000},
		{"refused", func(c *Cache, p Prompt) { c.Begin(e0, "m", p, 16).End(0) }, 0},
		{"refused while another request reads it", func(c *Cache, p Prompt) {
			c.Begin(e0, "m", p, 16)
			c.Begin(e0, "m", p, 16).End(0)
		}, 1000},
		{"weights loaded, seen in the roster", func(c *Cache, p Prompt) { read(c, e0, "m", p); newer(c) }, 0},
		{"weights loaded, seen in a response", func(c *Cache, p Prompt) {
			read(c, e0, "m", p)
			c.Begin(e0, "m", parse(t, "f:10,g:10"), 0).Started(2)
		}, 0},
		{"weights loaded between the choice and the arrival", func(c *Cache, p Prompt) {
			read(c, e0, "m", p)
			changed(c, p, newer, 2, 2)
		}, 1000},
		{"weights loaded after the first event", func(c *Cache, p Prompt) { changed(c, p, func(*Cache) {}, 1, 2) }, 0},
		{"an old response after a load", func(c *Cache, p Prompt) { changed(c, p, newer, 1, 1) }, 0},
		{"weights of another model loaded", func(c *Cache, p Prompt) { read(c, e0, "m", p); c.Begin(e0, "n", p, 16).Started(2) }, 1000},
		{"an older roster", func(c *Cache, p Prompt) { c.Begin(e0, "m", p, 16).Started(3); newer(c) }, 1000},
		{"restarted between the choice and the arrival", func(c *Cache, p Prompt) {
			read(c, e0, "m", p)
			changed(c, p, func(c *Cache) { all := engines(); all[0].Born = 2; c.Update(all) }, 1, 1)
		}, 0},
		{"a new leader", func(c *Cache, p Prompt) { read(c, e0, "m", p); c.Reset() }, 0},
		{"an unknown engine", func(c *Cache, p Prompt) { read(c, departure.Incarnation{ID: "x"}, "m", p) }, 0},
	} {
		c := New()
		c.Update(engines())
		p := parse(t, group)
		x.play(c, p)
		if got, holds := c.Cached(e0, "m", p), c.Holders("m", p)[e0]; got != x.cached || holds != x.cached {
			t.Errorf("%s: %d and %d tokens are cached, want %d", x.name, got, holds, x.cached)
		}
	}
}

// TestWrongBeliefCostsOneReading guards against a wrong belief that lasts: once a request has read the prompt
// at an engine, the engine has it, whatever was believed.
func TestWrongBeliefCostsOneReading(t *testing.T) {
	c := New()
	c.Update(engines())
	p := parse(t, "a:1000,b:16")
	read(c, e0, "m", p)
	r := c.Begin(e0, "m", p, 16) // the engine has evicted it meanwhile, which this process does not know
	r.Started(1)
	if r.Saved() != 1000 || c.Cached(e0, "m", p) != 1000 {
		t.Errorf("%d tokens believed, %d cached afterwards", r.Saved(), c.Cached(e0, "m", p))
	}
}

// TestMemoryRunsOut guards against prompts that are believed to be cached in memory that running requests or
// later prompts take, and against the eviction of those that are in use or were used last.
func TestMemoryRunsOut(t *testing.T) {
	c := New()
	c.Update(engines())
	var all []Prompt
	for i := range 4 {
		all = append(all, parse(t, fmt.Sprintf("%x:900,ff:16", i)))
	}
	held := func() (out []int) {
		for i, p := range all {
			if c.Cached(e0, "m", p) > 0 {
				out = append(out, i)
			}
		}
		return out
	}
	for _, p := range all[:3] {
		read(c, e0, "m", p)
	}
	read(c, e0, "m", all[0])
	read(c, e0, "m", all[3])
	if got := held(); !slices.Equal(got, []int{0, 2, 3}) {
		t.Errorf("prompts %v are held, want all but the least recently used one", got)
	}
	using := c.Begin(e0, "m", all[2], 16)
	other := c.Begin(e0, "n", parse(t, "aa:1,bb:1"), 1000)
	if got := held(); !slices.Equal(got, []int{2, 3}) {
		t.Errorf("prompts %v are held beside a large request of another model, want 2 and 3", got)
	}
	c.Begin(e0, "n", parse(t, "aa:1,bb:1"), 5000).End(1)
	if got := held(); !slices.Equal(got, []int{2}) {
		t.Errorf("prompts %v are held, want the one in use", got)
	}
	using.End(1)
	other.End(1)
	if _, parts, _ := c.Size(); parts != 1 {
		t.Errorf("%d parts are left, want the one that was read", parts)
	}
}

// TestManyParts guards against memory that grows with the number of engines and prompts.
func TestManyParts(t *testing.T) {
	c, all := fullCache(t, 2400)
	engines, parts, _ := c.Size()
	if engines != 2400 || parts > maxTotal {
		t.Errorf("%d parts at %d engines", parts, engines)
	}
	c.Update(nil)
	if engines, parts, tokens := c.Size(); engines+parts+tokens+len(c.holders) > 0 {
		t.Errorf("%d engines, %d parts, %d tokens and %d keys are left", engines, parts, tokens, len(c.holders))
	}
	read(c, all[0].Incarnation, "m", parse(t, "a:1,b:1"))
}

// fullCache returns a model of engines that hold as many prompts as it keeps.
func fullCache(t testing.TB, n int) (*Cache, []Engine) {
	c := New()
	var all []Engine
	for i := range n {
		all = append(all, Engine{departure.Incarnation{ID: fmt.Sprintf("engine-%04d", i), Born: 1}, 83885, map[string]uint64{"m": 1}})
	}
	c.Update(all)
	for i, e := range all {
		for j := range 20 {
			read(c, e.Incarnation, "m", parse(t, fmt.Sprintf("%x:1000,1:16", i*100+j)))
		}
	}
	return c, all
}

// TestOrder guards against items that wait behind others although their prompt is cached at the only free
// engine, against ones that are passed without bound, and against a long item or one of another batch that is
// passed.
func TestOrder(t *testing.T) {
	c := New()
	c.Update(engines())
	a, b := parse(t, "a:1000,1:16"), parse(t, "b:1000,1:16")
	read(c, e0, "m", b)
	const step = "s"
	free := []departure.Incarnation{e0}
	for _, x := range []struct {
		name  string
		items []Waiting
		want  []int
	}{
		{"cached behind", []Waiting{{a, step, 0}, {a, step, 0}, {b, step, 0}}, []int{2, 0, 1}},
		{"passed often", []Waiting{{a, step, maxPassed}, {b, step, 0}}, []int{0, 1}},
		{"one of several passed often", []Waiting{{a, step, 0}, {a, step, maxPassed}, {b, step, 0}}, []int{0, 1, 2}},
		{"another batch", []Waiting{{a, step, 0}, {b, "t", 0}}, []int{0, 1}},
		{"long item first", []Waiting{{a, "", 0}, {b, "", 0}}, []int{0, 1}},
		{"cached in front", []Waiting{{b, step, 0}, {b, step, 0}}, []int{0, 1}},
	} {
		if got := c.Order("m", free, x.items); !slices.Equal(got, x.want) {
			t.Errorf("%s: order %v, want %v", x.name, got, x.want)
		}
	}
	items := []Waiting{{a, step, 0}, {b, step, 0}}
	c.Order("m", free, items)
	if items[0].Passed != 1 || items[1].Passed != 0 {
		t.Errorf("passed %d and %d times, want 1 and 0", items[0].Passed, items[1].Passed)
	}
}

// TestRate guards against a rate that follows the noise of a few samples, and one that never moves.
func TestRate(t *testing.T) {
	var r Rate
	for i := range 10 {
		r.Add(1000*(i%2), time.Duration(40+50*(i%2))*time.Millisecond)
	}
	if got := r.PerMS(); got < 200 {
		t.Errorf("after 10 samples with noise %v tokens a ms", got)
	}
	r = Rate{}
	for i := range 20000 { // 1,000 tokens in 10 ms, noise of 20 ms
		r.Add(1000*(i%2), time.Duration(40+10*(i%2)+20*(i/2%2))*time.Millisecond)
	}
	if got := r.PerMS(); got < 90 || got > 120 {
		t.Errorf("%v tokens a ms, want 100", got)
	}
	if got := (&Rate{}).Time(750).Round(time.Microsecond); got != 2*time.Millisecond {
		t.Errorf("750 tokens take %v before the first sample, want 2ms", got)
	}
}

// BenchmarkRun measures what an item costs the model, apart from the choice of its engine.
func BenchmarkRun(b *testing.B) {
	c, all := fullCache(b, 2400)
	p := parse(b, fmt.Sprintf("%x:1000,1:16", 1234*100+19))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Holders("m", p)
		read(c, all[i%4].Incarnation, "m", p)
	}
}

// BenchmarkMemory measures the memory of a full model of 2,400 engines.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, _ := fullCache(b, 2400)
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, parts, _ := c.Size()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		b.ReportMetric(float64(parts), "parts")
	}
}
