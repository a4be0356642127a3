package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/process/roster"
)

const (
	fastEvent = 26 * time.Millisecond
	slowEvent = 57 * time.Millisecond
)

// engines returns a table of eight engines of eight slots, a quarter of which are fast.
func engines() *Table {
	t := NewTable()
	t.ByEventTime = true
	var all []roster.Instance
	for i := range 8 {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%d", i), Service: "s", Addr: fmt.Sprint(i), Slots: 8, State: roster.Ready, Born: 1})
	}
	t.Update(all, nil, nil, 1)
	return t
}

func eventTimeOf(id string) time.Duration {
	if id < "e2" {
		return fastEvent
	}
	return slowEvent
}

// TestStepEndsWithFastEngines replays steps of 80 items on engines of which a quarter is fast: one item in
// twelve has 120 events, the others 12, all begin at once and nothing is known of their lengths. It guards
// against long items that stay at slow engines to their end, where the step takes 6.8 s.
func TestStepEndsWithFastEngines(t *testing.T) {
	table := engines()
	for i := range 8 {
		id := fmt.Sprintf("e%d", i)
		table.RecordEventTime(Slot{ID: id, Born: 1}, eventTimeOf(id), start)
	}
	type run struct {
		slot  Slot
		left  float64
		total float64
	}
	req := Requirement{Service: "s", Strict: true}
	waiting, now, moves := 80, start, 0
	var running []*run
	step := 10 * time.Millisecond
	for waiting > 0 || len(running) > 0 {
		kept := running[:0]
		for _, r := range running {
			if r.left -= float64(step) / float64(eventTimeOf(r.slot.ID)); r.left > 0 {
				kept = append(kept, r)
				continue
			}
			table.Done(r.slot, Served, 0, now)
		}
		running = kept
		var all []Running
		for _, r := range running { // an item is expected to go on for as long as a third of what it has produced
			all = append(all, Running{Slot: r.slot, Requirement: req, Events: max(12-(r.total-r.left), 0.35*(r.total-r.left))})
		}
		for _, u := range table.Upgrades(all, now) {
			table.Done(running[u.Index].slot, Abandoned, 0, now)
			running[u.Index].slot = u.Slot
			moves++
		}
		for waiting > 0 {
			slot, ok := table.Take(req, now)
			if !ok {
				break
			}
			events := 12.0
			if waiting%12 == 0 {
				events = 120
			}
			running = append(running, &run{slot, events, events})
			waiting--
		}
		now = now.Add(step)
	}
	if took := now.Sub(start); took > 5500*time.Millisecond {
		t.Errorf("the step took %v", took)
	}
	if moves > 2*80/12 {
		t.Errorf("%d runs were moved for %d long items", moves, 80/12)
	}
}

// TestUpgrades plays the decision case by case. It guards against moves that win nothing, and against two
// requests that are sent to the same slot.
func TestUpgrades(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Table)
		events []float64
		moved  int
	}{
		{"long items", func(*Table) {}, []float64{60, 50}, 2},
		{"short item", func(*Table) {}, []float64{12}, 0},
		{"one slot for two", func(t *Table) {
			t.servers["e0"].running, t.servers["e1"].running = 8, 7
		}, []float64{60, 80}, 1},
		{"fast engines leave", func(t *Table) {
			t.servers["e0"].State, t.servers["e1"].State = roster.Draining, roster.Gone
		}, []float64{60}, 0},
		{"noise of a fifth", func(t *Table) {
			t.servers["e0"].events.mean, t.servers["e1"].events.mean = slowEvent*85/100, slowEvent*85/100
		}, []float64{120}, 0},
		{"nothing is known of the current engine", func(t *Table) { t.servers["e5"].events = eventTime{} }, []float64{60}, 0},
	} {
		table := engines()
		for _, s := range table.servers {
			s.events.add(eventTimeOf(s.ID), start)
		}
		c.change(table)
		var all []Running
		for _, n := range c.events {
			all = append(all, Running{Slot: Slot{ID: "e5", Born: 1}, Requirement: Requirement{Service: "s", Strict: true}, Events: n})
		}
		got := table.Upgrades(all, start)
		if len(got) != c.moved {
			t.Errorf("%s: %d moved, want %d", c.name, len(got), c.moved)
		}
		if c.name == "one slot for two" && got[0].Index != 1 {
			t.Errorf("%s: request %d moved, want the one that ends last", c.name, got[0].Index)
		}
	}
}

// TestEventTimeIgnoresShortNoise slows an engine by 2.5 for 0.6 s and later for good. It guards against
// requests that leave an engine for noise, and against ones that stay at an engine that has turned slow.
func TestEventTimeIgnoresShortNoise(t *testing.T) {
	var e eventTime
	now := start
	play := func(d, sample time.Duration) {
		for range d / (50 * time.Millisecond) {
			now = now.Add(50 * time.Millisecond)
			for range 3 { // requests that run beside each other
				e.add(sample, now)
			}
		}
	}
	play(3*time.Second, fastEvent)
	play(600*time.Millisecond, fastEvent*5/2)
	if ratio := float64(fastEvent) / float64(e.mean); ratio < 0.7 {
		t.Errorf("after 0.6 s of noise the average is %v", e.mean)
	}
	play(3*time.Second, fastEvent)
	play(700*time.Millisecond, 3*fastEvent)
	if ratio := float64(fastEvent) / float64(e.mean); ratio > upgradeRatio {
		t.Errorf("after 0.7 s at a third of the speed the average is %v", e.mean)
	}
	now = now.Add(time.Minute)
	before := e.mean
	e.add(4*before, now)
	if e.mean > 2*before+before/5 {
		t.Errorf("the first sample after a pause replaces the average: %v after %v", e.mean, before)
	}
}

// TestKnownEventTimes gives a table what another process has measured. It guards against a new leader that
// takes all engines for equally fast, and against figures of an engine that has restarted.
func TestKnownEventTimes(t *testing.T) {
	table := engines()
	known := map[departure.Incarnation]time.Duration{{ID: "e0", Born: 1}: fastEvent, {ID: "e5", Born: 1}: slowEvent, {ID: "e6", Born: 9}: slowEvent}
	table.SetEventTimes(known)
	all := []Running{{Slot: Slot{ID: "e5", Born: 1}, Requirement: Requirement{Service: "s", Strict: true}, Events: 60}}
	if got := table.Upgrades(all, start); len(got) != 1 || got[0].Slot.ID != "e0" {
		t.Fatalf("got %v, want a move to e0", got)
	}
	if got := table.EventTimes(); len(got) != 2 {
		t.Fatalf("event times of %v, want those of e0 and e5", got)
	}
}

// BenchmarkUpgrades measures a search at the design size: 2,400 engines of eight slots, all of which run a request.
func BenchmarkUpgrades(b *testing.B) {
	table := NewTable()
	table.ByEventTime = true
	var all []roster.Instance
	var running []Running
	for i := range 2400 {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%04d", i), Service: "s", Slots: 8, State: roster.Ready, Born: 1})
	}
	table.Update(all, nil, nil, 1)
	for i, x := range all {
		slot := Slot{ID: x.ID, Born: 1}
		table.RecordEventTime(slot, fastEvent+time.Duration(i%4/3)*(slowEvent-fastEvent), start)
		for range 8 {
			running = append(running, Running{Slot: slot, Requirement: Requirement{Service: "s", Strict: true}, Events: float64(i % 100)})
		}
		table.servers[x.ID].running = 8
	}
	for b.Loop() {
		table.Upgrades(running, start)
	}
}
