package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// TestShouldMoveFromSlowServers slows three of sixteen servers by a factor of four
// while long items run at them: their items should move to other servers, and the
// items of the other servers should not.
func TestShouldMoveFromSlowServers(t *testing.T) {
	const event = 47 * time.Millisecond
	table := NewTable()
	var all []roster.Instance
	for i := range 16 {
		all = append(all, roster.Instance{ID: fmt.Sprintf("e%02d", i), Service: "s", Addr: fmt.Sprint(i), Zone: "z", Slots: 8,
			State: roster.Ready, Born: 1})
	}
	table.Update(all, nil, nil, 1)
	now := time.Unix(1000, 0)
	req := Requirement{Service: "s", Strict: true}
	var slots []Slot
	for range 48 {
		slot, ok := table.Take(req, now)
		if !ok {
			t.Fatal("no server took the item")
		}
		slots = append(slots, slot)
	}
	slow := func(id string) bool { return id < "e03" }
	pace := func(id string) time.Duration {
		if slow(id) {
			return 4 * event
		}
		return event
	}
	for range 5 {
		for _, x := range slots {
			table.RecordPace(x, pace(x.ID))
		}
	}
	for _, x := range slots {
		if got := table.ShouldMove(x, req, pace(x.ID), now); got != slow(x.ID) {
			t.Errorf("ShouldMove of an item at %s with %v per event = %v", x.ID, pace(x.ID), got)
		}
	}
	for range 9 {
		if slot, ok := table.Take(req, now); !ok || slow(slot.ID) {
			t.Fatalf("an item was placed at %q although faster servers are idle", slot.ID)
		}
	}
}

// TestShouldMoveNeedsFasterFreeServer keeps an item at its slow server while the
// fast ones are full or draining.
func TestShouldMoveNeedsFasterFreeServer(t *testing.T) {
	now := time.Unix(1000, 0)
	two := func(edit func(x *roster.Instance)) (*Table, Slot) {
		table := NewTable()
		fast := roster.Instance{ID: "fast", Service: "s", Addr: "f", Slots: 1, State: roster.Ready, Born: 1}
		edit(&fast)
		slow := roster.Instance{ID: "slow", Service: "s", Addr: "s", Slots: 8, State: roster.Ready, Born: 1}
		third := roster.Instance{ID: "third", Service: "s", Addr: "t", Slots: 1, State: roster.Draining, Born: 1}
		table.Update([]roster.Instance{fast, slow, third}, nil, nil, 1)
		table.RecordPace(Slot{ID: "fast", Born: 1}, 50*time.Millisecond)
		table.RecordPace(Slot{ID: "third", Born: 1}, 50*time.Millisecond)
		table.RecordPace(Slot{ID: "slow", Born: 1}, 200*time.Millisecond)
		return table, Slot{ID: "slow", Born: 1}
	}
	req := Requirement{Service: "s", Strict: true}
	table, slot := two(func(*roster.Instance) {})
	if !table.ShouldMove(slot, req, 200*time.Millisecond, now) {
		t.Fatal("an item does not move to an idle fast server")
	}
	table.Take(req, now)
	if table.ShouldMove(slot, req, 200*time.Millisecond, now) {
		t.Fatal("an item would move to a full server")
	}
	table, slot = two(func(x *roster.Instance) { x.State = roster.Draining })
	if table.ShouldMove(slot, req, 200*time.Millisecond, now) {
		t.Fatal("an item would move to a draining server")
	}
}

// TestRecordVersion stores newer versions, and an older one only with force.
func TestRecordVersion(t *testing.T) {
	table := NewTable()
	table.Update([]roster.Instance{{ID: "e", Service: "s", Slots: 8, State: roster.Ready, Born: 1, Weights: map[string]uint64{"m": 5}}}, nil, nil, 1)
	now := time.Unix(1000, 0)
	available := func(minVersion uint64) bool {
		slot, ok := table.Take(Requirement{Service: "s", Model: "m", MinVersion: minVersion}, now)
		if ok {
			table.Done(slot, Served, 0, now)
		}
		return ok
	}
	slot := Slot{ID: "e", Born: 1}
	table.RecordVersion(slot, "m", 6, false)
	if !available(6) {
		t.Fatal("a newer version was not stored")
	}
	table.RecordVersion(slot, "m", 4, false)
	if !available(6) {
		t.Fatal("a late response lowered the version")
	}
	table.RecordVersion(slot, "m", 4, true)
	if available(6) || !available(4) {
		t.Fatal("an older version was not stored with force")
	}
}
