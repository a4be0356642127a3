package placement

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestRefusalsOfALoadingModel refuses a request of one model: that model's requests stay away for
// the cooldown and then come one at a time, until one is started or a newer version is announced.
// The requests of the other model are not affected.
func TestRefusalsOfALoadingModel(t *testing.T) {
	all := func(version uint64) []roster.Instance {
		return []roster.Instance{{ID: "s", Addr: "a", Service: "p", Slots: 8, State: roster.Ready, Born: 1, Weights: map[string]uint64{"m": version, "n": 2}}}
	}
	loading, other := Requirement{Service: "p", Model: "m", Strict: true}, Requirement{Service: "p", Model: "n", Strict: true}
	for _, c := range []struct {
		name string
		end  func(x *Table, probe Slot)
		free bool
	}{
		{"refused again", func(x *Table, probe Slot) { x.Done(probe, Loading, 0, start.Add(loadingCooldown)) }, false},
		{"in flight", func(*Table, Slot) {}, false},
		{"started", func(x *Table, probe Slot) { x.Started(probe) }, true},
		{"a newer version announced", func(x *Table, _ Slot) { x.Update(all(3), nil, nil, 1) }, true},
		{"interrupted", func(x *Table, probe Slot) { x.Done(probe, Interrupted, 0, start.Add(loadingCooldown)) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := table(all(2), routing.Service{})
			refused, _ := x.Take(loading, start)
			x.Done(refused, Loading, 0, start)
			if _, ok := x.Take(loading, start.Add(loadingCooldown-time.Millisecond)); ok {
				t.Fatal("a request was sent within the cooldown")
			}
			if _, ok := x.Take(other, start); !ok {
				t.Fatal("a request of the other model was held back")
			}
			now := start.Add(loadingCooldown)
			probe, ok := x.Take(loading, now)
			if !ok {
				t.Fatal("no request was sent after the cooldown")
			}
			c.end(x, probe)
			if _, ok := x.Take(loading, now); ok != c.free {
				t.Fatalf("the next request was sent: %v, want %v", ok, c.free)
			}
		})
	}
}
