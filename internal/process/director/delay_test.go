package director

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
)

func TestActDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	const lease = 3 * time.Second
	for _, c := range []struct {
		name   string
		fenced bool
		ago    time.Duration
		want   time.Duration
	}{
		{"never led before", true, 0, 0},
		{"lost the leadership a moment ago", true, time.Second, lease},
		{"lost it within the margin of clocks", true, lease + clockMargin, lease},
		{"lost it long ago", true, lease + clockMargin + time.Second, 0},
		{"tokens are not compared", false, 0, lease},
		{"the clock of the other host is ahead", true, -5 * time.Second, lease},
	} {
		var superseded time.Time
		if c.ago != 0 {
			superseded = now.Add(-c.ago)
		}
		if got := actDelay(lease, c.fenced, superseded, now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestHoldersDoNotTakeTurns plays elections among three hosts and the times at which each leader
// may act: no host acts, then another, then the first again within a lease.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	const lease = 3 * time.Second
	type act struct {
		host string
		at   time.Time
	}
	for first := range 60 {
		c := catalog.New()
		now := time.Unix(1000, 0)
		var acts []act
		for n := range 12 {
			host := string(rune('a' + (n*n+first/7+n*first)%3))
			at := now.Add(time.Duration(500+(n*731+first*389)%2500) * time.Millisecond)
			if _, err := c.Apply(uint64(n+1), (&catalog.Command{Leadership: host, LeadershipAt: at.UnixMilli()}).Encode()); err != nil {
				t.Fatal(err)
			}
			var superseded time.Time
			if ms, ok := c.Superseded[host]; ok {
				superseded = time.UnixMilli(ms)
			}
			next := at.Add(time.Duration(300+(n*977+first*613)%5000) * time.Millisecond)
			for x := at.Add(actDelay(lease, true, superseded, at)); x.Before(next); x = x.Add(200 * time.Millisecond) {
				acts = append(acts, act{host, x})
			}
			now = next
		}
		for i, x := range acts {
			other := false
			for _, y := range acts[i+1:] {
				if y.at.Sub(x.at) >= lease {
					break
				}
				if other = other || y.host != x.host; other && y.host == x.host {
					t.Fatalf("schedule %d: %s acted %v after its earlier act, another host between them", first, x.host, y.at.Sub(x.at))
				}
			}
		}
	}
}
