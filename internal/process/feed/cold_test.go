package feed

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestColdByTheClockOfTheLeader guards against too many requests to a cold server when the clock of the control
// leader differs from the host's by seconds.
func TestColdByTheClockOfTheLeader(t *testing.T) {
	const rate, left = 14.0, 3 * time.Second
	config := routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "p", ColdStart: left, ColdRate: rate}}})
	for name, offset := range map[string]time.Duration{"equal": 0, "behind": -2 * time.Second, "ahead": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			a, addr := startControl(t)
			update := newUpdate(5, 3)
			leader := time.Now().Add(offset)
			instances, err := json.Marshal([]roster.Instance{{ID: "i", Service: "p", Addr: "10.0.0.1:80", Slots: 100, State: roster.Ready,
				ColdUntil: leader.Add(left).UnixMilli()}})
			if err != nil {
				t.Fatal(err)
			}
			update.Instances, update.Clock = instances, leader.UnixMilli()
			a.set(func(x *fakeControl) { x.update = update })
			f := startFeed(t, addr)
			waitFor(t, "the roster", func() bool { return f.State().Roster == 5 })
			began := time.Now()
			table := placement.NewTable()
			table.Update(f.State().Instances, nil, config, 1)
			var sent []time.Time
			for now := began; now.Before(began.Add(left)); now = now.Add(10 * time.Millisecond) {
				slot, ok := table.Take(placement.Requirement{Service: "p"}, now)
				if !ok {
					continue
				}
				table.Done(slot, placement.Served, 0, now)
				sent = append(sent, now)
				if !slot.Cold {
					t.Fatalf("the server does not count as cold %v after it said that it is for %v more", now.Sub(began), left)
				}
			}
			if len(sent) < int(rate) {
				t.Errorf("only %d requests in %v", len(sent), left)
			}
			slot, ok := table.Take(placement.Requirement{Service: "p"}, began.Add(left+time.Second))
			if !ok || slot.Cold {
				t.Errorf("a second later the server counts as cold: %v", ok)
			}
		})
	}
}
