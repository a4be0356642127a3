package fairshare

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func flows(names ...string) (out []Flow) {
	for _, n := range names {
		out = append(out, Flow{"s", n, "m"})
	}
	return out
}

// TestRoundServesTheLeastServed divides capacity among a flow with little demand and two with more than there is.
// It guards against a flow that gets more since it asks for more.
func TestRoundServesTheLeastServed(t *testing.T) {
	r := NewRound(make([]time.Duration, 3))
	demand := []int{10, 200, 1000}
	got := make([]int, 3)
	for capacity := 110; capacity > 0; {
		i, ok := r.Next()
		if !ok {
			t.Fatal("no flow is open")
		}
		if got[i] == demand[i] {
			r.Close(i)
			continue
		}
		got[i]++
		capacity--
		r.Grant(i, time.Second)
	}
	if got[0] != 10 || got[1] != 50 || got[2] != 50 {
		t.Fatalf("served %v, want 10, 50 and 50", got)
	}
}

// TestLeadsAreBounded guards against a flow that takes all capacity for as long as it was absent, and against flows
// of different services that wait for each other.
func TestLeadsAreBounded(t *testing.T) {
	l := New()
	all := append(flows("a", "b", "new"), Flow{"other", "x", "m"})
	l.Charge(all[0], 300*time.Second, start)
	l.Charge(all[1], 250*time.Second, start)
	l.Charge(all[3], 5*time.Second, start)
	leads := l.Leads(all, start)
	if half := 91667 * time.Millisecond; leads[0] != leads[1] || leads[2] != 0 || (leads[0]-half).Abs() > time.Millisecond {
		t.Errorf("leads %v, want half of the mean before the new flow", leads)
	}
	if leads[3] != 0 {
		t.Errorf("a flow alone at its service is ahead by %v", leads[3])
	}
	if two := l.Leads(all[:2], start.Add(decay)); two[1] != 0 || (two[0]-18394*time.Millisecond).Abs() > 10*time.Millisecond {
		t.Errorf("leads %v after the decay time, want 50 s / e", two)
	}
	l.Forget(start.Add(retention + time.Second))
	if len(l.counts) != 0 {
		t.Error("flows without service are kept")
	}
}
