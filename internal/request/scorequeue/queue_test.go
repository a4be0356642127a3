package scorequeue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/itemqueue"
)

func key(batch, item string) itemqueue.Key { return itemqueue.Key{Batch: batch, Item: item} }

func TestOrderAndRetries(t *testing.T) {
	now := time.Unix(100, 0)
	q := New()
	missing := map[string]int{"a": 5, "b": 1, "c": 1, "d": 3}
	missingOf := func(k itemqueue.Key) int { return missing[k.Item] }
	for i, item := range []string{"a", "b", "c", "d"} {
		q.Add(key("x", item), now.Add(time.Duration(10-i)*time.Second))
	}
	names := func() (out []string) {
		for _, c := range q.Runnable(now, missingOf) {
			out = append(out, c.Item)
		}
		return out
	}
	if got := names(); !slices.Equal(got, []string{"c", "b", "d", "a"}) {
		t.Fatalf("order is %v", got)
	}
	q.Start(key("x", "c"), "s")
	if got := names(); !slices.Equal(got, []string{"b", "d", "a"}) || q.Running("s") != 1 {
		t.Fatalf("order is %v, %d run", got, q.Running("s"))
	}
	for try, delay := range []time.Duration{retryMin, 2 * retryMin, 4 * retryMin, 8 * retryMin, retryMax, retryMax} {
		q.Requeue(key("x", "c"), now)
		if got := names(); slices.Contains(got, "c") || q.Running("s") != 0 {
			t.Fatalf("try %d: %v are runnable at once, %d run", try, got, q.Running("s"))
		}
		now = now.Add(delay)
		if got := names(); got[len(got)-1] != "c" {
			t.Fatalf("try %d: after the delay the order is %v, want the failed call last", try, got)
		}
		q.Start(key("x", "c"), "s")
	}
	q.Done(key("x", "c"))
	q.Done(key("x", "unknown"))
	if q.Running("s") != 0 || q.Len() != 3 {
		t.Fatalf("%d run, %d queued", q.Running("s"), q.Len())
	}
}

// service plays servers that work on calls for a fixed time each; callers take slots first.
type service struct {
	slots   int
	callers func(now time.Time) int
	took    time.Duration
	// lost makes every call of that number get no response, which shows after 1 s.
	lost int
}

// TestEndOfAStep replays the end of a step: 27 groups of 4 items, whose texts are complete
// within 6 s, are scored by a service that is healthy, busy with callers, half dead or slow. Nine
// tenths of the groups must be complete 7.5 s after the submission, and callers must find a free
// slot.
func TestEndOfAStep(t *testing.T) {
	for _, c := range []struct {
		name string
		service
	}{
		{"healthy", service{slots: 84, callers: func(time.Time) int { return 4 }, took: 200 * time.Millisecond}},
		{"busy", service{slots: 84, callers: func(time.Time) int { return 30 }, took: 200 * time.Millisecond}},
		{"half dead", service{slots: 42, callers: func(time.Time) int { return 4 }, took: 200 * time.Millisecond, lost: 8}},
		{"slow", service{slots: 84, callers: func(time.Time) int { return 16 }, took: 800 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			complete, blocked := playStep(c.service)
			if complete < 25 {
				t.Errorf("%d of 27 groups were complete in time, want 25", complete)
			}
			if blocked > 0 {
				t.Errorf("callers found no free slot for %v", blocked)
			}
		})
	}
}

// playStep returns the number of complete groups at the end of the step, and for how long no
// slot was free.
func playStep(s service) (complete int, blocked time.Duration) {
	const groups, size, tick = 27, 4, 10 * time.Millisecond
	start := time.Unix(0, 0)
	q := New()
	missing := map[int]int{}
	type call struct {
		group  int
		until  time.Time
		result bool
	}
	running := map[itemqueue.Key]call{}
	calls := 0
	groupOf := func(k itemqueue.Key) int {
		var g, i int
		fmt.Sscanf(k.Item, "%d-%d", &g, &i)
		return g
	}
	for g := range groups {
		missing[g] = size
	}
	for now := start; now.Before(start.Add(7500 * time.Millisecond)); now = now.Add(tick) {
		for g := range groups {
			for i := range size {
				if ready := start.Add(time.Duration(400+(g*size+i)*137%5600) * time.Millisecond); !now.Before(ready) && now.Before(ready.Add(tick)) {
					q.Add(key("x", fmt.Sprintf("%d-%d", g, i)), start.Add(7500*time.Millisecond))
				}
			}
		}
		for k, c := range running {
			switch {
			case now.Before(c.until):
				continue
			case c.result:
				missing[c.group]--
				q.Done(k)
			default:
				q.Requeue(k, now)
			}
			delete(running, k)
		}
		for _, c := range q.Runnable(now, func(k itemqueue.Key) int { return missing[groupOf(k)] }) {
			if q.Running("s") >= Limit(s.slots) {
				break
			}
			q.Start(c.Key, "s")
			calls++
			x := call{groupOf(c.Key), now.Add(s.took), true}
			if s.lost > 0 && calls%s.lost == 0 {
				x.until, x.result = now.Add(time.Second), false
			}
			running[c.Key] = x
		}
		if len(running)+s.callers(now) > s.slots {
			blocked += tick
		}
	}
	for _, n := range missing {
		if n == 0 {
			complete++
		}
	}
	return complete, blocked
}

func TestLimit(t *testing.T) {
	for slots, want := range map[int]int{0: 1, 1: 1, 6: 3, 84: 50} {
		if got := Limit(slots); got != want {
			t.Errorf("%d slots: limit %d, want %d", slots, got, want)
		}
	}
}
