package endqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// outcome is the replay of a load pattern against a store group without a leader for some time.
type outcome struct {
	// calls is the number of calls sent during the outage.
	calls int
	// late is the longest time from the return of the leader to the delivery of an end.
	late time.Duration
	left int
}

// replay asks for ends at the given times after the start and calls a group that answers from
// the end of the outage on. A call takes 3 ms when it is answered and callTime when it is not; it
// is one request to one host, or a few if hosts name another one.
func replay(asked []time.Duration, outage, callTime time.Duration) outcome {
	start := time.Unix(1000, 0)
	q := New()
	rng := rand.New(rand.NewPCG(1, 1))
	q.Jitter = rng.Float64
	var r outcome
	next := 0
	for now := start; now.Before(start.Add(30 * time.Second)); {
		for next < len(asked) && !now.Before(start.Add(asked[next])) {
			q.Add(End{Batch: fmt.Sprint(next), Asked: now}, now)
			next++
		}
		x, _, ok := q.Next(now)
		switch {
		case !ok:
			now = now.Add(time.Millisecond)
		case now.Sub(start) < outage:
			r.calls++
			now = now.Add(callTime)
			q.Failed(x, now)
		default:
			now = now.Add(3 * time.Millisecond)
			q.Delivered(x)
			r.late = max(r.late, now.Sub(start.Add(max(outage, x.Asked.Sub(start)))))
		}
	}
	r.left = q.Len()
	return r
}

// TestEndsDuringAnOutage replays trainers that end their steps while the group has no leader.
// Every end must be delivered, within the 3 s for which items may still reach an engine, and the
// group must not be flooded meanwhile.
func TestEndsDuringAnOutage(t *testing.T) {
	spread := func(n int, over time.Duration) []time.Duration {
		var out []time.Duration
		for i := range n {
			out = append(out, time.Duration(i)*over/time.Duration(n))
		}
		return out
	}
	for _, c := range []struct {
		name             string
		asked            []time.Duration
		outage, callTime time.Duration
	}{
		{"one end, an election", spread(1, time.Second), 1500 * time.Millisecond, 5 * time.Millisecond},
		{"eight trainers, hosts that do not answer", spread(8, 4*time.Second), 5 * time.Second, 900 * time.Millisecond},
		{"200 ends, a long outage", spread(200, 4*time.Second), 12 * time.Second, 900 * time.Millisecond},
		{"200 ends at once, connections refused", spread(200, 0), 12 * time.Second, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := replay(c.asked, c.outage, c.callTime)
			if r.left != 0 || r.late > 3*time.Second {
				t.Errorf("%d ends not delivered, the last one %v after the leader was back", r.left, r.late)
			}
			if most := int(2*c.outage/MaxDelay) + 8; r.calls > most {
				t.Errorf("%d calls during the outage, want at most %d", r.calls, most)
			}
		})
	}
}

// TestQueueBounds checks that an end is queued once, and that the oldest are dropped.
func TestQueueBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	for i := range MaxEnds + 2 {
		dropped := q.Add(End{Batch: fmt.Sprint(i), Asked: now}, now)
		if (len(dropped) > 0) != (i >= MaxEnds) {
			t.Fatalf("end %d: dropped %v", i, dropped)
		}
		q.Add(End{Batch: fmt.Sprint(i), Asked: now}, now)
	}
	if q.Len() != MaxEnds || q.ends[0].Batch != "2" {
		t.Fatalf("%d ends, the oldest is %+v", q.Len(), q.ends[0])
	}
	q.Delivered(End{Batch: "2"})
	if x, _, ok := q.Next(now); !ok || x.Batch != "3" {
		t.Fatalf("next is %+v, %v", x, ok)
	}
}

// TestFailingEndHoldsUpNoOther replays a queue in which the first end fails at each call.
func TestFailingEndHoldsUpNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	for _, id := range []string{"failing", "a", "b"} {
		q.Add(End{Batch: id, Asked: now}, now)
	}
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		x, _, ok := q.Next(now)
		switch {
		case !ok:
		case x.Batch == "failing":
			q.Failed(x, now)
		default:
			q.Delivered(x)
		}
	}
	if q.Len() != 1 {
		t.Errorf("%d ends are left, want the failing one", q.Len())
	}
}
