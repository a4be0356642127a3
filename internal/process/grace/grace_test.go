package grace

import (
	"testing"
	"time"
)

func TestAdmits(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	p := &Period{Start: start, Length: 8 * time.Second}
	for _, c := range []struct {
		name         string
		after, limit time.Duration
		want         bool
	}{
		{"stream at once", 0, 12 * time.Second, true},
		{"stream while the load balancer still sends", 2400 * ms, 12 * time.Second, true},
		{"late stream", 3050 * ms, 9 * time.Second, false},
		{"late plain request", 3050 * ms, 1500 * ms, true},
		{"plain request on a kept connection", 5 * time.Second, 1500 * ms, true},
		{"plain request near the end", 6 * time.Second, 1500 * ms, false},
		{"short request near the end", 6 * time.Second, 500 * ms, true},
		{"request at the end", 6900 * ms, 100 * ms, false},
	} {
		now := start.Add(c.after)
		if got := p.Admits(now.Add(c.limit), now); got != c.want {
			t.Errorf("%s: admitted %v", c.name, got)
		}
	}
	var running *Period
	if !running.Admits(start.Add(time.Hour), start) {
		t.Error("a host that does not stop refuses a request")
	}
}

// TestNothingIsCut replays requests of all lengths that come all the time from the signal on: only
// streams that came early may be running at the exit.
func TestNothingIsCut(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, length := range []time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		p := &Period{Start: start, Length: length}
		for after := time.Duration(0); after < length; after += 50 * time.Millisecond {
			for limit := 50 * time.Millisecond; limit < 40*time.Second; limit *= 2 {
				now := start.Add(after)
				if p.Admits(now.Add(limit), now) && now.Add(limit).After(p.Exit()) && after >= lateAfter {
					t.Errorf("a grace period of %v: a request of %v that came after %v can be cut", length, limit, after)
				}
			}
		}
		if last := p.LastAnswer().Sub(start); last < length*5/6 || p.Exit().Sub(start) >= length {
			t.Errorf("a grace period of %v: the last answers come after %v, the host ends after %v", length, last, p.Exit().Sub(start))
		}
	}
}
