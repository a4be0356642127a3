package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
)

// TestReportsTakeTurns reports 150 engines. It guards against engines that control never hears of, and
// against reports that grow with the number of engines.
func TestReportsTakeTurns(t *testing.T) {
	known := map[departure.Incarnation]time.Duration{}
	for i := range 150 {
		known[departure.Incarnation{ID: fmt.Sprintf("e%03d", i), Born: 1}] = time.Duration(i+1) * time.Millisecond
	}
	var r eventTimeReport
	seen := map[string]uint32{}
	for range 3 {
		got := r.next(known)
		if len(got) != maxReportedTimes {
			t.Fatalf("%d engines in a report", len(got))
		}
		for _, e := range got {
			seen[e.Instance] = e.Micros
		}
	}
	if len(seen) != 150 || seen["e149"] != 150000 {
		t.Fatalf("%d of 150 engines reported", len(seen))
	}
	if got := r.next(nil); len(got) != 0 {
		t.Fatalf("got %v without engines", got)
	}
}
