package propagation

import (
	"fmt"
	"testing"
	"time"
)

func ignore(time.Duration) {}

// TestSlowestHostIsNamed replays overlapping changes at 1,000 hosts, of which one is late.
func TestSlowestHostIsNamed(t *testing.T) {
	var tr Tracker
	var hosts []string
	for i := range 1000 {
		hosts = append(hosts, fmt.Sprintf("h%03d", i))
	}
	start := time.Unix(1000, 0)
	tr.Begin(5, hosts, start)
	tr.Begin(9, hosts, start.Add(100*time.Millisecond))
	for _, h := range hosts[:999] {
		if done := tr.Report(h, 9, start.Add(300*time.Millisecond), ignore); len(done) != 0 {
			t.Fatalf("changes done before all hosts have them: %+v", done)
		}
	}
	done := tr.Report("h999", 5, start.Add(2*time.Second), ignore)
	if len(done) != 1 || done[0].Revision != 5 || done[0].Slowest != "h999" || done[0].Took != 2*time.Second || done[0].Hosts != 1000 {
		t.Fatalf("after the last report of the first change: %+v", done)
	}
	if tr.Report("h000", 9, start.Add(time.Minute), func(time.Duration) { t.Error("a host was counted twice") }) != nil {
		t.Error("a repeated report ended a change")
	}
	late := tr.Expire(start.Add(giveUp + 100*time.Millisecond))
	if len(late) != 1 || late[0].Revision != 9 || late[0].MissingHosts != 1 || late[0].Missing[0] != "h999" {
		t.Fatalf("late changes: %+v", late)
	}
}

func TestPendingChangesAreBounded(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for i := range uint64(10 * maxPending) {
		tr.Begin(i+1, []string{"a", "b"}, now)
	}
	if n := len(tr.Report("a", 1<<40, now, ignore)); n != 0 || len(tr.pending) != maxPending {
		t.Fatalf("%d done, %d pending", n, len(tr.pending))
	}
	if n := len(tr.Report("b", 1<<40, now, ignore)); n != maxPending || len(tr.pending) != 0 {
		t.Fatalf("%d done, %d pending", n, len(tr.pending))
	}
}
